package loadbalancer.proxy.discovery;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import java.io.IOException;
import loadbalancer.proxy.logging.ProxyLogger;

/** Hands the responses and failures of one connection to the call that waits for them. */
final class DiscoveryResponseHandler extends SimpleChannelInboundHandler<FullHttpResponse> {

  private final DiscoveryTransport transport;

  /** The call that waits for a response; null while the connection is idle. */
  private DiscoveryCall pendingCall;

  DiscoveryResponseHandler(DiscoveryTransport transport) {
    this.transport = transport;
  }

  /** The next response, or the end of the connection, belongs to this call. */
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
