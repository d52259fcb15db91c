package loadbalancer.proxy.discovery;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import java.io.IOException;
import loadbalancer.proxy.logging.ProxyLogger;

/**
 * The channel handler of one connection to discovery. Passes a response, or the end of the
 * connection, to the call that awaits it. Used on the event loop thread only.
 */
final class DiscoveryResponseHandler extends SimpleChannelInboundHandler<FullHttpResponse> {

  private final DiscoveryTransport transport;

  /** The call that awaits a response; null while the connection is idle. */
  private DiscoveryCall pendingCall;

  DiscoveryResponseHandler(DiscoveryTransport transport) {
    this.transport = transport;
  }

  /** Passes the next response, or the end of the connection, to the given call. */
  void expectResponse(DiscoveryCall call) {
    pendingCall = call;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
    DiscoveryCall call = pendingCall;
    pendingCall = null;
    if (call == null || !HttpUtil.isKeepAlive(response)) {
      context.close();
    }
    if (call != null) {
      transport.deliver(call, response);
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    failPendingCall();
    context.fireChannelInactive();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    if (!(cause instanceof IOException)) {
      ProxyLogger.LOGGER.warning("discovery connection failed: error=" + cause);
    }
    failPendingCall();
    context.close();
  }

  private void failPendingCall() {
    if (pendingCall != null) {
      pendingCall.fail();
    }
  }
}
