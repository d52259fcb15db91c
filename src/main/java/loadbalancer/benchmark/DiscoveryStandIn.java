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
import loadbalancer.benchmark.Traffic.Kind;

/**
 * Stands in for discovery on loopback, as the protocol page has it: the whole list, a watch with
 * index and wait, deltas, drains, removals, outages and their end. Whoever watches from a version
 * whose changes are no longer kept gets the whole list. All balancers ask it directly, as if their
 * agents passed each call on: an agent that keeps what it was sent would spare it the empty
 * answers.
 */
final class DiscoveryStandIn implements AutoCloseable {

  /**
   * How it meets calls: a silent one reads them and never answers them, also after its return; one
   * that refuses resets each connection as it comes.
   */
  enum Mode {
    ANSWERING,
    SILENT,
    REFUSING
  }

  /** What it reports on its own loop. */
  interface Listener {

    /** A version exists from now on, and nobody has been told of it. */
    void changed(long version);

    /**
     * A call of a connection at the second address tells that this version was taken in after that.
     */
    void acknowledged(long after, long version);
  }

  /** The addresses: one for hollow balancers, one for real ones, which are counted apart. */
  static final int HOLLOW = 0;

  static final int REAL = 1;
  private static final int ADDRESSES = 2;
  private static final int MOST_REQUEST = 8_192;
  private static final int BACKLOG = 4_096;

  /** The version that is asked from by whoever asks for the whole list. */
  private static final long WHOLE = -1;

  private static final long LONGEST_WAIT_MS = 60_000;

  private final EventLoop loop;
  private final Listener listener;
  private final Traffic[] traffic = {new Traffic(), new Traffic()};
  private final List<Channel> servers = new ArrayList<>();
  private final Set<Channel> open = new HashSet<>();
  private final Set<Watch> watches = new LinkedHashSet<>();
  private final Map<Integer, Entry> entries = new LinkedHashMap<>();

  /** The changes that are kept, by the version that they made. */
  private final TreeMap<Long, List<Entry>> history = new TreeMap<>();

  /** The answers to the present version, by the version asked from; -1 for the whole list. */
  private final Map<Long, ByteBuf> answers = new LinkedHashMap<>();

  private long version = 1;
  private long oldest = 1;
  private Mode mode = Mode.ANSWERING;

  /** A call that waits for something newer than a version. */
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
              .option(ChannelOption.SO_BACKLOG, BACKLOG)
              .childOption(ChannelOption.TCP_NODELAY, true)
              .childHandler(
                  new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                      accepted(channel, address);
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

  Traffic.Copy traffic(int which) {
    return onLoop(() -> traffic[which].copy());
  }

  /** Changes entries in one version, which it returns; what is removed leaves the list. */
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
          forgetAnswers();
          listener.changed(version);
          if (mode == Mode.ANSWERING) {
            List.copyOf(watches).forEach(this::answer);
          }
          return version;
        });
  }

  /**
   * Loses the changes, as a discovery does that comes back from nothing: all get whole lists then.
   */
  void forget() {
    onLoop(
        () -> {
          history.clear();
          oldest = version;
          forgetAnswers();
          return null;
        });
  }

  /** Makes a version that everybody gets as a whole list. */
  long resync() {
    return onLoop(
        () -> {
          version++;
          history.clear();
          oldest = version;
          forgetAnswers();
          listener.changed(version);
          if (mode == Mode.ANSWERING) {
            List.copyOf(watches).forEach(this::answer);
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
            List.copyOf(open).forEach(DiscoveryStandIn::reset);
          }
          return null;
        });
  }

  @Override
  public void close() {
    onLoop(
        () -> {
          servers.forEach(Channel::close);
          List.copyOf(open).forEach(DiscoveryStandIn::reset);
          forgetAnswers();
          return null;
        });
    loop.parent().shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
  }

  private <T> T onLoop(Callable<T> work) {
    return loop.submit(work).syncUninterruptibly().getNow();
  }

  private void forgetAnswers() {
    answers.values().forEach(ByteBuf::release);
    answers.clear();
  }

  private static void reset(Channel channel) {
    channel.config().setOption(ChannelOption.SO_LINGER, 0);
    channel.close();
  }

  private void accepted(Channel channel, int address) {
    traffic[address].count(Kind.CONNECTIONS, 1);
    if (mode == Mode.REFUSING) {
      reset(channel);
      return;
    }
    open.add(channel);
    channel.closeFuture().addListener(closed -> open.remove(channel));
    channel
        .pipeline()
        .addLast(
            new Meter(traffic[address]),
            new HttpServerCodec(),
            new HttpObjectAggregator(MOST_REQUEST),
            new Calls(address));
  }

  private void answer(Watch watch) {
    watches.remove(watch);
    watch.end.cancel(false);
    answer(watch.channel, watch.address, watch.index);
  }

  private void answer(Channel channel, int address, long index) {
    boolean whole = index < oldest || index > version;
    Kind kind = whole ? Kind.LISTS : index == version ? Kind.EMPTY_ANSWERS : Kind.DELTAS;
    traffic[address].count(kind, 1);
    ByteBuf body = answers.computeIfAbsent(whole ? WHOLE : index, this::body).retainedDuplicate();
    DefaultFullHttpResponse response =
        new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK, body);
    response.headers().set("Content-Type", "application/json");
    response.headers().setInt("Content-Length", body.readableBytes());
    channel.writeAndFlush(response);
  }

  private ByteBuf body(long index) {
    Map<Integer, Entry> newer = new LinkedHashMap<>();
    if (index != WHOLE) {
      history
          .tailMap(index, false)
          .values()
          .forEach(changes -> changes.forEach(entry -> newer.put(entry.number(), entry)));
    }
    String text =
        index == WHOLE
            ? Fleet.list(version, true, entries.values())
            : Fleet.list(version, false, newer.values());
    return Unpooled.directBuffer(text.length())
        .writeBytes(text.getBytes(StandardCharsets.US_ASCII));
  }

  /** Counts the bytes of a connection. */
  private static final class Meter extends ChannelDuplexHandler {

    private final Traffic traffic;

    Meter(Traffic traffic) {
      this.traffic = traffic;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
      traffic.count(Kind.BYTES_IN, ((ByteBuf) message).readableBytes());
      ctx.fireChannelRead(message);
    }

    @Override
    public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
      traffic.count(Kind.BYTES_OUT, ((ByteBuf) message).readableBytes());
      ctx.write(message, promise);
    }
  }

  /** Reads the calls of one connection. */
  private final class Calls extends SimpleChannelInboundHandler<FullHttpRequest> {

    private final int address;
    private long last = WHOLE;
    private Watch watch;

    Calls(int address) {
      this.address = address;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
      traffic[address].count(Kind.REQUESTS, 1);
      QueryStringDecoder query = new QueryStringDecoder(request.uri());
      if (!query.path().equals("/catalog/members")) {
        ctx.close();
        return;
      }
      long index = number(query, "index", WHOLE);
      long wait = Math.min(LONGEST_WAIT_MS, number(query, "wait", 0));
      if (address == REAL && last != WHOLE && index > last) {
        listener.acknowledged(last, index);
      }
      last = index;
      if (mode != Mode.ANSWERING) {
        return;
      }
      if (index == version && wait > 0) {
        Watch begun = new Watch(ctx.channel(), address, index);
        begun.end = loop.schedule(() -> answer(begun), wait, TimeUnit.MILLISECONDS);
        watch = begun;
        watches.add(begun);
      } else {
        answer(ctx.channel(), address, index);
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
