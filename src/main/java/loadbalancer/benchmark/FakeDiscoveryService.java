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
import loadbalancer.benchmark.DiscoveryTraffic.Metric;
import loadbalancer.benchmark.SyntheticDeployment.EndpointEntry;

/**
 * A fake discovery service that listens on loopback. It serves full lists and watches (requests
 * with the parameters index and wait), which it answers with a delta, and simulates outages. A
 * watch from a version whose changes are no longer kept gets the full list. Balancers call it
 * directly, without the caching agent of a real deployment.
 */
final class FakeDiscoveryService implements AutoCloseable {

  /** How the service treats requests. */
  enum Mode {
    /** Answers them. */
    ANSWERING,
    /** Reads requests and never answers them, not even in a later mode. */
    SILENT,
    /** Resets all open and new connections. */
    REFUSING
  }

  /** Receives events on the event loop of the service. */
  interface Listener {

    /** A new version exists, which has not been sent to any balancer yet. */
    void versionCreated(long version);

    /** A request of a real balancer shows that it has replaced one version by a later one. */
    void versionAcknowledged(long previousVersion, long version);
  }

  // Indexes of the listening addresses. Simulated and real balancers use different ones, so that
  // their traffic is counted separately.
  static final int SIMULATED_BALANCERS = 0;

  static final int REAL_BALANCERS = 1;
  private static final int ADDRESS_COUNT = 2;
  private static final int MAX_REQUEST_BYTES = 8_192;
  private static final int ACCEPT_BACKLOG = 4_096;

  /** Used in place of a version for a request that gives none, which asks for the full list. */
  private static final long NO_VERSION = -1;

  private static final long MAX_WAIT_MILLIS = 60_000;

  private final EventLoop eventLoop;
  private final Listener listener;
  private final DiscoveryTraffic[] trafficByAddress = {
    new DiscoveryTraffic(), new DiscoveryTraffic()
  };
  private final List<Channel> servers = new ArrayList<>();
  private final Set<Channel> openChannels = new HashSet<>();
  private final Set<Watch> watches = new LinkedHashSet<>();
  private final Map<Integer, EndpointEntry> entries = new LinkedHashMap<>();

  /** Changed entries by the version that contains the change, for the versions still kept. */
  private final TreeMap<Long, List<EndpointEntry>> history = new TreeMap<>();

  /** Response bodies for the current version, by the version that the request gives. */
  private final Map<Long, ByteBuf> responseBodies = new LinkedHashMap<>();

  private long version = 1;

  /** Requests from an older version get the full list. */
  private long oldestVersion = 1;

  private Mode mode = Mode.ANSWERING;

  /** A request that waits for a version after the one that it gives. */
  private static final class Watch {

    private final Channel channel;
    private final int addressIndex;
    private final long sinceVersion;
    private Future<?> timeout;

    Watch(Channel channel, int addressIndex, long sinceVersion) {
      this.channel = channel;
      this.addressIndex = addressIndex;
      this.sinceVersion = sinceVersion;
    }
  }

  FakeDiscoveryService(List<EndpointEntry> initialEntries, Listener listener) {
    this.listener = listener;
    initialEntries.forEach(entry -> entries.put(entry.number(), entry));
    eventLoop =
        (EventLoop)
            new MultiThreadIoEventLoopGroup(
                    1, new DefaultThreadFactory("discovery", true), NioIoHandler.newFactory())
                .next();
    for (int i = 0; i < ADDRESS_COUNT; i++) {
      int addressIndex = i;
      servers.add(
          new ServerBootstrap()
              .group(eventLoop, eventLoop)
              .channel(NioServerSocketChannel.class)
              .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
              .childOption(ChannelOption.TCP_NODELAY, true)
              .childHandler(
                  new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                      onAccepted(channel, addressIndex);
                    }
                  })
              .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
              .syncUninterruptibly()
              .channel());
    }
  }

  InetSocketAddress address(int addressIndex) {
    return (InetSocketAddress) servers.get(addressIndex).localAddress();
  }

  EventLoop eventLoop() {
    return eventLoop;
  }

  DiscoveryTraffic.Snapshot traffic(int addressIndex) {
    return onEventLoop(() -> trafficByAddress[addressIndex].snapshot());
  }

  /** Creates a version that adds, replaces or removes entries, and returns its number. */
  long change(List<EndpointEntry> changed) {
    return onEventLoop(
        () -> {
          version++;
          for (EndpointEntry entry : changed) {
            if (entry.state().equals("removed")) {
              entries.remove(entry.number());
            } else {
              entries.put(entry.number(), entry);
            }
          }
          history.put(version, List.copyOf(changed));
          releaseResponseBodies();
          listener.versionCreated(version);
          if (mode == Mode.ANSWERING) {
            List.copyOf(watches).forEach(this::respond);
          }
          return version;
        });
  }

  /** Drops all changes, as a restart without state does, so that older versions get full lists. */
  void dropHistory() {
    onEventLoop(
        () -> {
          history.clear();
          oldestVersion = version;
          releaseResponseBodies();
          return null;
        });
  }

  /** Creates a version without changes that balancers get as a full list; returns its number. */
  long resync() {
    return onEventLoop(
        () -> {
          version++;
          history.clear();
          oldestVersion = version;
          releaseResponseBodies();
          listener.versionCreated(version);
          if (mode == Mode.ANSWERING) {
            List.copyOf(watches).forEach(this::respond);
          }
          return version;
        });
  }

  void setMode(Mode newMode) {
    onEventLoop(
        () -> {
          mode = newMode;
          if (newMode != Mode.ANSWERING) {
            watches.forEach(watch -> watch.timeout.cancel(false));
            watches.clear();
          }
          if (newMode == Mode.REFUSING) {
            List.copyOf(openChannels).forEach(FakeDiscoveryService::reset);
          }
          return null;
        });
  }

  @Override
  public void close() {
    onEventLoop(
        () -> {
          servers.forEach(Channel::close);
          List.copyOf(openChannels).forEach(FakeDiscoveryService::reset);
          releaseResponseBodies();
          return null;
        });
    eventLoop.parent().shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
  }

  private <T> T onEventLoop(Callable<T> task) {
    return eventLoop.submit(task).syncUninterruptibly().getNow();
  }

  private void releaseResponseBodies() {
    responseBodies.values().forEach(ByteBuf::release);
    responseBodies.clear();
  }

  private static void reset(Channel channel) {
    channel.config().setOption(ChannelOption.SO_LINGER, 0);
    channel.close();
  }

  private void onAccepted(Channel channel, int addressIndex) {
    trafficByAddress[addressIndex].count(Metric.CONNECTIONS, 1);
    if (mode == Mode.REFUSING) {
      reset(channel);
      return;
    }
    openChannels.add(channel);
    channel.closeFuture().addListener(ignored -> openChannels.remove(channel));
    channel
        .pipeline()
        .addLast(
            new ByteCounter(trafficByAddress[addressIndex]),
            new HttpServerCodec(),
            new HttpObjectAggregator(MAX_REQUEST_BYTES),
            new RequestHandler(addressIndex));
  }

  private void respond(Watch watch) {
    watches.remove(watch);
    watch.timeout.cancel(false);
    respond(watch.channel, watch.addressIndex, watch.sinceVersion);
  }

  private void respond(Channel channel, int addressIndex, long sinceVersion) {
    boolean full = sinceVersion < oldestVersion || sinceVersion > version;
    Metric metric =
        full ? Metric.LISTS : sinceVersion == version ? Metric.EMPTY_ANSWERS : Metric.DELTAS;
    trafficByAddress[addressIndex].count(metric, 1);
    ByteBuf body =
        responseBodies
            .computeIfAbsent(full ? NO_VERSION : sinceVersion, this::encodeBody)
            .retainedDuplicate();
    DefaultFullHttpResponse response =
        new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK, body);
    response.headers().set("Content-Type", "application/json");
    response.headers().setInt("Content-Length", body.readableBytes());
    channel.writeAndFlush(response);
  }

  private ByteBuf encodeBody(long sinceVersion) {
    Map<Integer, EndpointEntry> changedEntries = new LinkedHashMap<>();
    if (sinceVersion != NO_VERSION) {
      history
          .tailMap(sinceVersion, false)
          .values()
          .forEach(changes -> changes.forEach(entry -> changedEntries.put(entry.number(), entry)));
    }
    String json =
        sinceVersion == NO_VERSION
            ? SyntheticDeployment.listJson(version, true, entries.values())
            : SyntheticDeployment.listJson(version, false, changedEntries.values());
    return Unpooled.directBuffer(json.length())
        .writeBytes(json.getBytes(StandardCharsets.US_ASCII));
  }

  /** Counts the bytes received and sent on a connection. */
  private static final class ByteCounter extends ChannelDuplexHandler {

    private final DiscoveryTraffic traffic;

    ByteCounter(DiscoveryTraffic traffic) {
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

    private final int addressIndex;

    /** The version that the previous request on this connection gave. */
    private long lastVersion = NO_VERSION;

    private Watch watch;

    RequestHandler(int addressIndex) {
      this.addressIndex = addressIndex;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
      trafficByAddress[addressIndex].count(Metric.REQUESTS, 1);
      QueryStringDecoder query = new QueryStringDecoder(request.uri());
      if (!query.path().equals("/catalog/members")) {
        ctx.close();
        return;
      }
      long sinceVersion = numberOrDefault(query, "index", NO_VERSION);
      long waitMillis = Math.min(MAX_WAIT_MILLIS, numberOrDefault(query, "wait", 0));
      if (addressIndex == REAL_BALANCERS
          && lastVersion != NO_VERSION
          && sinceVersion > lastVersion) {
        listener.versionAcknowledged(lastVersion, sinceVersion);
      }
      lastVersion = sinceVersion;
      if (mode != Mode.ANSWERING) {
        return;
      }
      if (sinceVersion == version && waitMillis > 0) {
        Watch newWatch = new Watch(ctx.channel(), addressIndex, sinceVersion);
        newWatch.timeout =
            eventLoop.schedule(() -> respond(newWatch), waitMillis, TimeUnit.MILLISECONDS);
        watch = newWatch;
        watches.add(newWatch);
      } else {
        respond(ctx.channel(), addressIndex, sinceVersion);
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      if (watch != null) {
        watch.timeout.cancel(false);
        watches.remove(watch);
      }
      ctx.fireChannelInactive();
    }

    private static long numberOrDefault(QueryStringDecoder query, String key, long defaultValue) {
      List<String> values = query.parameters().get(key);
      return values == null ? defaultValue : Long.parseLong(values.get(0));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      if (!(cause instanceof IOException)) {
        System.err.println("fake discovery service: connection failed: " + cause);
      }
      ctx.close();
    }
  }
}
