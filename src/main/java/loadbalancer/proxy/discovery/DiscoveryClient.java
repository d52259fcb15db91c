package loadbalancer.proxy.discovery;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.ByteBufInputStream;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelFactory;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.util.SplittableRandom;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.logging.Level;
import loadbalancer.model.EndpointUpdateType;
import loadbalancer.proxy.config.ProxyConfig;
import loadbalancer.proxy.eventloop.DescriptorBudget;
import loadbalancer.proxy.json.JsonReader;
import loadbalancer.proxy.logging.ProxyLogger;

/**
 * Asks discovery for the list of upstreams and watches its changes. Whatever goes wrong with a
 * call, a garbled answer or none at all, is {@link EndpointUpdateType#FAILED} once, and the old
 * list holds; when to ask again is the module's decision.
 */
public final class DiscoveryClient {

  private static final int MAX_LIST = 4 * 1024 * 1024;
  private static final int CONNECT_TIMEOUT_MS = 1_000;

  /**
   * The longest and, drawn anew for each call, the shortest a watch waits for news. One that has
   * fallen silent shows it by nothing but the want of an answer when its wait is over, and until
   * then the list grows old; an answer without news is cheap. Balancers that start together must
   * not ask in step.
   */
  public static final int MAX_WATCH_MILLIS = 2_000;

  private static final int SHORTEST_PART = 2;

  /**
   * How long after that an answer may still be under way; what was not told by then counts as told.
   */
  private static final int LATE_MS = 1_000;

  /** The version of a list from a discovery that has told nothing yet. */
  private static final long UNTOLD = -1;

  /** What the list is told to. */
  public interface Listener {

    /** News; the roster is null if the call failed. */
    void onUpdate(EndpointUpdateType change, EndpointListUpdate roster);
  }

  private final EventLoop loop;
  private final ProxyConfig config;
  private final Listener listener;
  private final Runnable makeRoom;
  private final int watchMillis;
  private final SplittableRandom random;
  private final Bootstrap bootstrap;
  private ChannelFactory<Channel> channels = NioSocketChannel::new;
  private InetSocketAddress address;
  private long version;
  private boolean watching;

  /** Whether a watch has been answered yet, so that the list is known to be no older than that. */
  private boolean heard;

  /** Whether the last call failed, so that the list may be old and more calls may fail. */
  private boolean failed;

  /** The watch's connection, kept from call to call, and its call that is out. */
  private Channel kept;

  private Call watch;

  /** Whether bytes that came are being handled: a channel must not be read while it is read. */
  private boolean taking;

  /** {@code makeRoom} frees descriptors; it is called where there is none for a connection. */
  public DiscoveryClient(
      EventLoop loop,
      ProxyConfig config,
      ByteBufAllocator memory,
      Listener listener,
      Runnable makeRoom,
      int watchMillis) {
    this.loop = loop;
    this.config = config;
    this.listener = listener;
    this.makeRoom = makeRoom;
    this.watchMillis = watchMillis;
    random = new SplittableRandom(config.seed());
    address = config.discovery();
    version = config.knownEndpoints().version();
    bootstrap =
        new Bootstrap()
            .group(loop)
            .channelFactory(() -> channels.newChannel())
            .option(ChannelOption.ALLOCATOR, memory)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
            .handler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    channel
                        .pipeline()
                        .addLast(
                            new HttpClientCodec(),
                            new HttpObjectAggregator(MAX_LIST),
                            new Answers());
                  }
                });
  }

  /** Where its sockets come from; for tests. */
  void openBy(ChannelFactory<Channel> factory) {
    channels = factory;
  }

  /**
   * Begins the watch, or ends it. One that is out ends quietly, and the new one goes over a
   * connection of its own: nothing but the want of an answer tells a dead connection from one with
   * no news.
   */
  public void watch(boolean on) {
    watching = on;
    if (watch != null) {
      watch.abandon();
      watch = null;
    }
    if (on) {
      watchOn();
    }
  }

  /**
   * Goes over to another discovery. The call that is out there ends quietly, as nothing has failed,
   * and the new one is asked for its whole list at once: its versions need not go on from the old
   * one's.
   */
  public void switchTo(InetSocketAddress other) {
    if (other.equals(address)) {
      return;
    }
    address = other;
    version = UNTOLD;
    if (watch != null) {
      watch.abandon();
      watch = null;
    }
    if (kept != null) {
      kept.close();
      kept = null;
    }
    if (watching) {
      watchOn();
    }
  }

  /**
   * Asks for what is newer. Where news is pushed, what the agent has counts as told from the start
   * on, so the first watch does not wait: its answer tells how old the known list is, also that it
   * is not. Nor does the one after a failure: news counts as told 6 s after discovery had it and
   * could be reached, and several calls that fail in a row would each take their whole wait of that
   * before they show it. It is waited for as long as any other, though: a discovery that many ask
   * at once answers late, and whoever gives up early and asks again adds to what it has to do and
   * gets nothing.
   */
  private void watchOn() {
    int wait =
        !failed && (heard || config.settings().explicitWatch())
            ? random.nextInt(watchMillis / SHORTEST_PART, watchMillis + 1)
            : 0;
    int patience = (failed ? watchMillis : wait) + LATE_MS;
    watch =
        version == UNTOLD
            ? new Call("", watchMillis + LATE_MS, this::watched)
            : new Call("?index=" + version + "&wait=" + wait, patience, this::watched);
    watch.start(kept);
  }

  private void watched(EndpointListUpdate roster) {
    kept = roster == null ? null : watch.channel;
    watch = null;
    heard |= roster != null;
    // Changes say nothing of the rest to somebody who has no list of that discovery.
    tell(roster != null && (version != UNTOLD || roster.full()) ? roster : null);
    // The watch goes on only if its next call comes soon, so it must not wait for the module. One
    // that
    // brought a list of no use would bring it again, at once and without end.
    if (!failed && watching && watch == null) {
      watchOn();
    }
  }

  /**
   * Takes in at once what the kernel holds of the watch's answer. Does nothing while one is taken
   * in.
   */
  public void readPending() {
    if (!taking && watch != null && watch.channel != null) {
      DescriptorBudget.readNow(watch.channel);
    }
  }

  /** Asks once for the whole list. */
  public void fetch() {
    Call call = new Call("", watchMillis + LATE_MS, null);
    call.end = roster -> fetched(call, roster);
    call.start(null);
  }

  private void fetched(Call call, EndpointListUpdate roster) {
    // Nobody asks on this connection again; left open, it would cost a descriptor for good.
    if (call.channel != null) {
      call.channel.close();
    }
    if (!call.asked.equals(address)) {
      // What another discovery lists is of no use here, and its versions would be taken for this
      // one's.
      fetch();
      return;
    }
    // Changes are no answer to a call for the whole list.
    tell(roster != null && roster.full() ? roster : null);
  }

  /**
   * A list that its listener can't take must not end the watch for good: it counts as a failed
   * call. How much of it was taken in is not known, so that only a whole list will do from there
   * on.
   */
  private void tell(EndpointListUpdate roster) {
    failed = roster == null;
    if (roster != null) {
      try {
        listener.onUpdate(
            roster.full() ? EndpointUpdateType.FULL : EndpointUpdateType.DELTA, roster);
        version = roster.version();
      } catch (RuntimeException e) {
        ProxyLogger.LOGGER.log(Level.SEVERE, "a list of upstreams could not be taken in", e);
        failed = true;
        version = UNTOLD;
      }
    }
    if (failed) {
      listener.onUpdate(EndpointUpdateType.FAILED, null);
    }
  }

  /** One call; its end is reported once, with null for a failure. */
  private final class Call {

    private final String query;
    private final InetSocketAddress asked = address;
    private final int patience;
    private Future<?> expiry;
    private Consumer<EndpointListUpdate> end;
    private Channel channel;
    private boolean over;

    /**
     * The answer must be whole within {@code patience}, in ms, from when the question is written.
     */
    Call(String query, int patience, Consumer<EndpointListUpdate> end) {
      this.query = query;
      this.patience = patience;
      this.end = end;
    }

    /** Asks over the given connection if it still stands, otherwise over a new one. */
    private void start(Channel connection) {
      if (connection != null && connection.isActive()) {
        ask(connection);
        return;
      }
      ChannelFuture connect = bootstrap.connect(address);
      if (connect.cause() instanceof ChannelException) {
        // There is no socket, for want of a descriptor: nothing to close, and a future of no loop.
        makeRoom.run();
        loop.execute(this::fail);
        return;
      }
      connect.addListener(
          (ChannelFuture up) -> {
            channel = up.channel();
            if (over) {
              channel.close();
            } else if (up.isSuccess()) {
              ask(channel);
            } else {
              fail();
            }
          });
    }

    private void ask(Channel connection) {
      channel = connection;
      expiry = loop.schedule(this::fail, patience, TimeUnit.MILLISECONDS);
      channel.pipeline().get(Answers.class).asked = this;
      DefaultFullHttpRequest request =
          new DefaultFullHttpRequest(
              HttpVersion.HTTP_1_1,
              HttpMethod.GET,
              "/catalog/members" + query,
              Unpooled.EMPTY_BUFFER);
      request.headers().set("Host", address.getHostString());
      channel
          .writeAndFlush(request)
          .addListener(
              write -> {
                if (!write.isSuccess()) {
                  fail();
                }
              });
    }

    private void abandon() {
      over = true;
      if (expiry != null) {
        expiry.cancel(false);
      }
      if (channel != null) {
        channel.close();
      }
    }

    private void fail() {
      if (!over) {
        abandon();
        end.accept(null);
      }
    }

    private void answered(FullHttpResponse response) {
      if (over) {
        return;
      }
      EndpointListUpdate roster;
      try {
        roster = read(response);
      } catch (IOException | IllegalArgumentException e) {
        ProxyLogger.LOGGER.warning("discovery's answer is of no use: " + e.getMessage());
        fail();
        return;
      }
      over = true;
      expiry.cancel(false);
      end.accept(roster);
    }

    private EndpointListUpdate read(FullHttpResponse response) throws IOException {
      if (!response.decoderResult().isSuccess() || response.status().code() != 200) {
        throw new IOException("status " + response.status().code());
      }
      try (InputStream body = new ByteBufInputStream(response.content())) {
        return EndpointListUpdate.parse(
            JsonReader.read(body), config.zones(), config.machineTypes());
      }
    }
  }

  /** Hands what comes on a connection to the call that waits for it. */
  private final class Answers extends SimpleChannelInboundHandler<FullHttpResponse> {

    private Call asked;

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
      Call call = asked;
      asked = null;
      if (call == null || !HttpUtil.isKeepAlive(response)) {
        ctx.close();
      }
      if (call != null) {
        taking = true;
        try {
          call.answered(response);
        } finally {
          taking = false;
        }
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      if (asked != null) {
        asked.fail();
      }
      ctx.fireChannelInactive();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      if (!(cause instanceof IOException)) {
        ProxyLogger.LOGGER.warning("the connection to discovery failed: " + cause);
      }
      if (asked != null) {
        asked.fail();
      }
      ctx.close();
    }
  }
}
