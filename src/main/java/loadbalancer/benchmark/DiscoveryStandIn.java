package loadbalancer.benchmark;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPromise;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import loadbalancer.benchmark.Fleet.Entry;
import loadbalancer.benchmark.Traffic.Metric;

/**
 * A stand-in for the discovery service on loopback: full lists, watches with index and wait, deltas
 * and outages. A watch from a version whose changes are no longer kept gets the full list.
 * Balancers call it directly, without the caching agent of a real deployment.
 */
final class DiscoveryStandIn implements AutoCloseable {

  /**
   * How it treats requests: SILENT reads and never answers them, not even later; REFUSING resets
   * each new connection.
   */
  enum Mode {
    ANSWERING,
    SILENT,
    REFUSING
  }

  /** Receives events on the event loop of the stand-in. */
  interface Listener {

    /** A version exists, and no balancer has been notified of it yet. */
    void changed(long version);

    /** A request of a real balancer shows that it has applied a version after another one. */
    void acknowledged(long after, long version);
  }

  /** The addresses: simulated and real balancers are counted separately. */
  static final int SIMULATED_BALANCERS = 0;

  static final int REAL_BALANCERS = 1;
  private static final int ADDRESSES = 2;
  private static final int MAX_REQUEST_BYTES = 8_192;
  private static final int ACCEPT_BACKLOG = 4_096;

  /** Stands for the version of a request for the full list. */
  private static final long NO_VERSION = -1;

  private static final long MAX_WAIT_MILLIS = 60_000;

  private final EventLoop loop;
  private final Listener listener;
  private final Traffic[] traffic = {new Traffic(), new Traffic()};
  private final List<Channel> servers = new ArrayList<>();
  private final Set<Channel> openChannels = new HashSet<>();
  private final Set<Watch> watches = new LinkedHashSet<>();
  private final Map<Integer, Entry> entries = new LinkedHashMap<>();

  /** The changes that are kept, by the version that they led to. */
  private final TreeMap<Long, List<Entry>> history = new TreeMap<>();

  /** Response bodies at the present version, by the version of the request. */
  private final Map<Long, ByteBuf> responseBodies = new LinkedHashMap<>();

  private long version = 1;
  private long oldestVersion = 1;
  private Mode mode = Mode.ANSWERING;

  /** A request that waits for a change after a version. */
  private static final class Watch {

    private final Channel channel;
    private final int address;
    private final long index;
    private Future<?> end;

    Watch(Channel channel, int address, long index) {
      this.channel = channel;
      this.address = address;
      this.index = index;
    }
  }

  DiscoveryStandIn(List<Entry> list, Listener listener) {
    this.listener = listener;
    list.forEach(entry -> entries.put(entry.number(), entry));
    loop =
        (EventLoop)
            new MultiThreadIoEventLoopGroup(
                    1, new DefaultThreadFactory("discovery", true), NioIoHandler.newFactory())
                .next();
    for (int i = 0; i < ADDRESSES; i++) {
      int address = i;
      servers.add(
          new ServerBootstrap()
              .group(loop, loop)
              .channel(NioServerSocketChannel.class)
              .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
              .childOption(ChannelOption.TCP_NODELAY, true)
              .childHandler(
                  new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                      onAccepted(channel, address);
                    }
                  })
              .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
              .syncUninterruptibly()
              .channel());
    }
  }

  InetSocketAddress address(int which) {
    return (InetSocketAddress) servers.get(which).localAddress();
  }

  EventLoop loop() {
    return loop;
  }

  Traffic.Snapshot traffic(int which) {
    return onLoop(() -> traffic[which].snapshot());
  }

  /** Changes or removes entries in one version, which it returns. */
  long change(List<Entry> changed) {
    return onLoop(
        () -> {
          version++;
          for (Entry entry : changed) {
            if (entry.state().equals("removed")) {
              entries.remove(entry.number());
            } else {
              entries.put(entry.number(), entry);
            }
          }
          history.put(version, List.copyOf(changed));
          releaseResponseBodies();
          listener.changed(version);
          if (mode == Mode.ANSWERING) {
            List.copyOf(watches).forEach(this::respond);
          }
          return version;
        });
  }

  /** Drops the changes, as a restart without state does: all balancers get full lists then. */
  void dropHistory() {
    onLoop(
        () -> {
          history.clear();
          oldestVersion = version;
          releaseResponseBodies();
          return null;
        });
  }

  /** Makes a version that all balancers get as a full list. */
  long resync() {
    return onLoop(
        () -> {
          version++;
          history.clear();
          oldestVersion = version;
          releaseResponseBodies();
          listener.changed(version);
          if (mode == Mode.ANSWERING) {
            List.copyOf(watches).forEach(this::respond);
          }
          return version;
        });
  }

  void mode(Mode next) {
    onLoop(
        () -> {
          mode = next;
          if (next != Mode.ANSWERING) {
            watches.forEach(watch -> watch.end.cancel(false));
            watches.clear();
          }
          if (next == Mode.REFUSING) {
            List.copyOf(openChannels).forEach(DiscoveryStandIn::reset);
          }
          return null;
        });
  }

  @Override
  public void close() {
    onLoop(
        () -> {
          servers.forEach(Channel::close);
          List.copyOf(openChannels).forEach(DiscoveryStandIn::reset);
          releaseResponseBodies();
          return null;
        });
    loop.parent().shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
  }

  private <T> T onLoop(Callable<T> work) {
    return loop.submit(work).syncUninterruptibly().getNow();
  }

  private void releaseResponseBodies() {
    responseBodies.values().forEach(ByteBuf::release);
    responseBodies.clear();
  }

  private static void reset(Channel channel) {
    channel.config().setOption(ChannelOption.SO_LINGER, 0);
    channel.close();
  }

  private void onAccepted(Channel channel, int address) {
    traffic[address].count(Metric.CONNECTIONS, 1);
    if (mode == Mode.REFUSING) {
      reset(channel);
      return;
    }
    openChannels.add(channel);
    channel.closeFuture().addListener(closed -> openChannels.remove(channel));
    channel
        .pipeline()
        .addLast(
            new ByteCounter(traffic[address]),
            new HttpServerCodec(),
            new HttpObjectAggregator(MAX_REQUEST_BYTES),
            new RequestHandler(address));
  }

  private void respond(Watch watch) {
    watches.remove(watch);
    watch.end.cancel(false);
    respond(watch.channel, watch.address, watch.index);
  }

  private void respond(Channel channel, int address, long index) {
    boolean full = index < oldestVersion || index > version;
    Metric metric = full ? Metric.LISTS : index == version ? Metric.EMPTY_ANSWERS : Metric.DELTAS;
    traffic[address].count(metric, 1);
    ByteBuf body =
        responseBodies
            .computeIfAbsent(full ? NO_VERSION : index, this::encodeBody)
            .retainedDuplicate();
    DefaultFullHttpResponse response =
        new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK, body);
    response.headers().set("Content-Type", "application/json");
    response.headers().setInt("Content-Length", body.readableBytes());
    channel.writeAndFlush(response);
  }

  private ByteBuf encodeBody(long index) {
    Map<Integer, Entry> newer = new LinkedHashMap<>();
    if (index != NO_VERSION) {
      history
          .tailMap(index, false)
          .values()
          .forEach(changes -> changes.forEach(entry -> newer.put(entry.number(), entry)));
    }
    String text =
        index == NO_VERSION
            ? Fleet.list(version, true, entries.values())
            : Fleet.list(version, false, newer.values());
    return Unpooled.directBuffer(text.length())
        .writeBytes(text.getBytes(StandardCharsets.US_ASCII));
  }

  /** Counts the bytes of a connection. */
  private static final class ByteCounter extends ChannelDuplexHandler {

    private final Traffic traffic;

    ByteCounter(Traffic traffic) {
      this.traffic = traffic;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
      traffic.count(Metric.BYTES_IN, ((ByteBuf) message).readableBytes());
      ctx.fireChannelRead(message);
    }

    @Override
    public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
      traffic.count(Metric.BYTES_OUT, ((ByteBuf) message).readableBytes());
      ctx.write(message, promise);
    }
  }

  /** Handles the requests of one connection. */
  private final class RequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {

    private final int address;
    private long last = NO_VERSION;
    private Watch watch;

    RequestHandler(int address) {
      this.address = address;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
      traffic[address].count(Metric.REQUESTS, 1);
      QueryStringDecoder query = new QueryStringDecoder(request.uri());
      if (!query.path().equals("/catalog/members")) {
        ctx.close();
        return;
      }
      long index = number(query, "index", NO_VERSION);
      long wait = Math.min(MAX_WAIT_MILLIS, number(query, "wait", 0));
      if (address == REAL_BALANCERS && last != NO_VERSION && index > last) {
        listener.acknowledged(last, index);
      }
      last = index;
      if (mode != Mode.ANSWERING) {
        return;
      }
      if (index == version && wait > 0) {
        Watch begun = new Watch(ctx.channel(), address, index);
        begun.end = loop.schedule(() -> respond(begun), wait, TimeUnit.MILLISECONDS);
        watch = begun;
        watches.add(begun);
      } else {
        respond(ctx.channel(), address, index);
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      if (watch != null) {
        watch.end.cancel(false);
        watches.remove(watch);
      }
      ctx.fireChannelInactive();
    }

    private static long number(QueryStringDecoder query, String key, long otherwise) {
      List<String> values = query.parameters().get(key);
      return values == null ? otherwise : Long.parseLong(values.get(0));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      if (!(cause instanceof IOException)) {
        System.err.println("discovery's stand-in: " + cause);
      }
      ctx.close();
    }
  }
}
