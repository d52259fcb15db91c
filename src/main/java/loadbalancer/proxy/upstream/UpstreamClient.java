package loadbalancer.proxy.upstream;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.PrematureChannelClosureException;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import loadbalancer.model.AttemptOutcome;
import loadbalancer.model.EndpointState;
import loadbalancer.model.PolicySettings;
import loadbalancer.proxy.discovery.EndpointListUpdate;
import loadbalancer.proxy.discovery.EndpointListUpdate.Entry;
import loadbalancer.proxy.eventloop.Clock;
import loadbalancer.proxy.eventloop.DescriptorBudget;
import loadbalancer.proxy.protocol.ProtocolHeaders;

/**
 * Carries attempts and probes to upstreams, one at a time on a connection, and reports how each
 * ended. It sends nothing twice: what breaks is an outcome.
 */
public final class UpstreamClient {

  /** The part of an upstream's idle limit after which a connection is closed from this side. */
  private static final double IDLE_SHARE = 0.7;

  private static final long SWEEP_MS = 1_000;

  /** The headers of a request that go on with it; the rest is a caller's own affair or worse. */
  private static final List<String> PASSED_ON =
      List.of(
          ProtocolHeaders.REQUEST_ID,
          "Idempotency-Key",
          ProtocolHeaders.REQUEST_CLASS,
          ProtocolHeaders.TENANT,
          "Cookie",
          ProtocolHeaders.CLIENT_RETRY,
          ProtocolHeaders.COST_ESTIMATE,
          ProtocolHeaders.LABELS);

  /**
   * The part of a drain's grace in which what has waited for its connection is still sent: the news
   * counts as told from when discovery had it, and finds the next call to it up to half of the
   * grace later.
   */
  private static final double GRACE_SHARE = 0.5;

  /**
   * An answer that has begun must go on after so long at most, and be whole after this many times
   * that.
   */
  private static final long STALL_MS = 300;

  private static final int MOST_STALLS = 5;

  /**
   * How long a connection rests before its next request: a second answer may come some ms after the
   * first, and nothing in it tells that it isn't the next request's. While none is at work it gives
   * itself away.
   */
  private static final double SETTLE_MS = 20;

  /** Most answers of the kind 1xx that may come ahead of one. */
  private static final int MOST_AHEAD = 16;

  /** Who waits for an attempt. */
  public interface Listener {

    /**
     * Called once, when the attempt is over; the response, null if none came, is not to be kept.
     */
    void attemptFinished(AttemptOutcome result, FullHttpResponse response);

    /**
     * Whether the outcome is of use now; asked before what waited for its connection is written.
     */
    default boolean isStillWanted() {
      return true;
    }
  }

  private final EventLoop loop;
  private final Clock clock;
  private final PolicySettings settings;
  private final DescriptorBudget sockets;
  private final Bootstrap bootstrap;
  private final Map<Long, Target> targets = new HashMap<>();
  private IdleConnectionTrust freshness;
  private double settleMillis = SETTLE_MS;
  private final ConnectTimeEstimate connectTime;

  /** Connections that are not up yet. */
  private int dialling;

  public UpstreamClient(
      EventLoop loop,
      Clock clock,
      PolicySettings settings,
      DescriptorBudget sockets,
      ByteBufAllocator memory) {
    this.loop = loop;
    this.clock = clock;
    this.settings = settings;
    this.sockets = sockets;
    trustYoung(IdleConnectionTrust.FRESH_MILLIS);
    connectTime = new ConnectTimeEstimate(settings.limits().connectTimeoutMillis());
    int connectTimeout = (int) Math.max(1, settings.limits().connectTimeoutMillis());
    bootstrap =
        new Bootstrap()
            .group(loop)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.ALLOCATOR, memory)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeout)
            .handler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    Connection connection = new Connection(channel);
                    channel
                        .pipeline()
                        .addLast(
                            connection.decoder,
                            new HttpRequestEncoder(),
                            new HttpObjectAggregator(ProtocolHeaders.MAX_BODY_BYTES),
                            connection);
                  }
                });
    sockets.onEvictUpstream(this::evictIdle);
    loop.scheduleAtFixedRate(this::sweep, SWEEP_MS, SWEEP_MS, TimeUnit.MILLISECONDS);
  }

  /**
   * An upstream, its idle connections, the longest idle first, and when it last was told to be
   * ready.
   */
  private static final class Target {
    Entry member;

    /** When this balancer was told that it wants nothing new; NaN while it does. */
    double toldOff = Double.NaN;

    /** Whether it is on the list no more. */
    boolean gone;

    final ArrayDeque<Connection> idle = new ArrayDeque<>();

    /** Whether a connection that was opened to this still leads to the same process. */
    boolean leadsAlike(Entry to) {
      return member.endpoint().startedAtMillis() == to.endpoint().startedAtMillis()
          && member.address().equals(to.address());
    }

    void closeIdle() {
      // Closing may call back and take the connection out of the queue.
      for (Connection c = idle.pollFirst(); c != null; c = idle.pollFirst()) {
        c.channel.close();
      }
    }
  }

  /**
   * Takes in a list that counts as told since a time; what an upstream that left or drains still
   * holds idle is of no more use.
   */
  public void updateEndpoints(EndpointListUpdate roster, double toldSince) {
    Map<Long, Target> left = new HashMap<>(roster.full() ? targets : Map.of());
    for (Entry member : roster.entries()) {
      left.remove(member.endpoint().id());
      if (member.endpoint().state() == EndpointState.REMOVED) {
        remove(targets.get(member.endpoint().id()), toldSince);
        continue;
      }
      Target target = targets.computeIfAbsent(member.endpoint().id(), id -> new Target());
      boolean moved = target.member != null && !target.leadsAlike(member);
      target.member = member;
      if (moved) {
        target.closeIdle();
      }
      target.gone = false;
      if (member.endpoint().state() == EndpointState.READY) {
        target.toldOff = Double.NaN;
      } else {
        tellOff(target, toldSince);
      }
    }
    left.values().forEach(target -> remove(target, toldSince));
  }

  private static void remove(Target target, double toldSince) {
    tellOff(target, toldSince);
    if (target != null) {
      target.gone = true;
    }
  }

  private static void tellOff(Target target, double toldSince) {
    if (target != null && Double.isNaN(target.toldOff)) {
      target.toldOff = toldSince;
      target.closeIdle();
    }
  }

  /**
   * Sends a request to an upstream and waits until the given time. {@code body} and {@code
   * listener} are used until the listener has been called.
   */
  public Attempt send(long upstream, FullHttpRequest request, double until, Listener listener) {
    Attempt attempt = new Attempt(request, until, listener);
    attempt.start(targets.get(upstream));
    return attempt;
  }

  /** Asks an upstream how it does; the answer's body holds its load report if the site has any. */
  public void checkHealth(long upstream, double until, Listener listener) {
    String path = settings.loadReportFields().isEmpty() ? "/ping" : "/_load";
    send(
        upstream,
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1, HttpMethod.GET, path, Unpooled.EMPTY_BUFFER),
        until,
        listener);
  }

  public void closeIdleConnections(long upstream) {
    Target target = targets.get(upstream);
    if (target != null) {
      target.closeIdle();
    }
  }

  private void sweep() {
    freshness.recover();
    sweep(clock.now());
  }

  /** Closes what has been idle for long and forgets upstreams that left; the time is now. */
  void sweep(double now) {
    double oldest = now - IDLE_SHARE * settings.limits().idleTimeoutMillis();
    for (Target target : targets.values()) {
      while (!target.idle.isEmpty() && target.idle.peekFirst().idleSince < oldest) {
        target.idle.pollFirst().channel.close();
      }
    }
    // Whoever left long ago and holds nothing need not be remembered.
    double grace = settings.rules().drainGraceMillis();
    targets.values().removeIf(t -> t.gone && t.toldOff < now - 2 * grace && t.idle.isEmpty());
  }

  /** How many upstreams it remembers. */
  int remembered() {
    return targets.size();
  }

  /** How many connections it waits for. */
  int dialling() {
    return dialling;
  }

  /** For how long a connection that rests is young; for tests. */
  void trustYoung(double millis) {
    freshness = new IdleConnectionTrust(IDLE_SHARE * settings.limits().idleTimeoutMillis(), millis);
  }

  /** How long a connection rests before its next request; for tests. */
  public void settleFor(double millis) {
    settleMillis = millis;
  }

  /** How long connections take to come up, for tests. */
  ConnectTimeEstimate connectTime() {
    return connectTime;
  }

  /** Takes it that a connection broke under a request after such a rest; for tests. */
  void brokeAtRest(double rested) {
    freshness.recordReset(rested);
  }

  /** Has the kernel hold no more than so many bytes unsent; for tests. */
  void sendBuffer(int bytes) {
    bootstrap.option(ChannelOption.SO_SNDBUF, bytes);
  }

  /** Closes the connection that has been idle for longest; false if there is none. */
  private boolean evictIdle() {
    Target longest = null;
    for (Target target : targets.values()) {
      if (!target.idle.isEmpty()
          && (longest == null
              || target.idle.peekFirst().idleSince < longest.idle.peekFirst().idleSince)) {
        longest = target;
      }
    }
    if (longest != null) {
      longest.idle.pollFirst().channel.close();
    }
    return longest != null;
  }

  /** One request on its way to one upstream. */
  public final class Attempt {

    private final FullHttpRequest request;
    private final double until;
    private final Listener listener;
    private final Future<?> expiry;
    private Target target;
    private Channel channel;

    /** Connections opened for it, the first one first. */
    private final List<Channel> dialled = new ArrayList<>(2);

    private boolean written;
    private boolean over;

    /** When it was written, and how long its connection had rested by then; NaN for a new one. */
    private double begunAt = Double.NaN;

    private double rested = Double.NaN;

    private Attempt(FullHttpRequest request, double until, Listener listener) {
      this.request = request;
      this.until = until;
      this.listener = listener;
      expiry = loop.schedule(this::expire, clock.nanosUntil(until), TimeUnit.NANOSECONDS);
    }

    private void start(Target to) {
      target = to;
      if (to == null) {
        end(AttemptOutcome.CONNECT_FAILED, null);
        return;
      }
      Connection idle = takeIdle(to, resendable());
      if (idle != null) {
        begin(idle);
      } else if (!sockets.tryReserveForUpstream(clock.now())) {
        // A shortage here says nothing of the upstream.
        end(AttemptOutcome.NOT_SENT, null);
      } else {
        if (!dial(to.member)) {
          // There is no socket, for want of a descriptor.
          end(AttemptOutcome.NOT_SENT, null);
          return;
        }
        long wait = (long) (connectTime.retryAfter() * 1_000);
        loop.schedule(this::dialAgain, wait, TimeUnit.MICROSECONDS);
      }
    }

    /**
     * The first connection is late. Another may be up sooner; whichever comes second is kept idle.
     */
    private void dialAgain() {
      boolean waits = !over && Double.isNaN(begunAt) && Double.isNaN(target.toldOff);
      if (waits && sockets.tryReserveForUpstream(clock.now())) {
        dial(target.member);
      }
    }

    /** Opens a connection for this attempt; false if there is no socket for it. */
    private boolean dial(Entry member) {
      ChannelFuture connect = bootstrap.connect(member.address());
      if (connect.cause() instanceof ChannelException) {
        return false;
      }
      Channel opened = connect.channel();
      sockets.track(opened);
      dialled.add(opened);
      dialling++;
      double dialledAt = clock.now();
      connect.addListener(
          up -> {
            dialling--;
            if (up.isSuccess()) {
              connectTime.observe(clock.now() - dialledAt);
              Connection connection = opened.pipeline().get(Connection.class);
              connection.to = member;
              if (!Double.isNaN(begunAt)) {
                connection.park(target);
              } else if (over) {
                opened.close();
              } else if (!listener.isStillWanted()) {
                giveUp(AttemptOutcome.NOT_SENT);
              } else {
                begin(connection);
              }
            } else if (Double.isNaN(begunAt) && opened == dialled.get(0)) {
              // Whoever chose the server reckons with no more than the time-out of one connection.
              giveUp(AttemptOutcome.CONNECT_FAILED);
            }
          });
      return true;
    }

    /** Writes the request, unless it has waited too long for its connection. */
    private void begin(Connection connection) {
      channel = connection.channel;
      double now = clock.now();
      begunAt = now;
      rested = now - connection.idleSince;
      // NaN compares false: a ready upstream takes anything.
      boolean drained = now >= target.toldOff + GRACE_SHARE * settings.rules().drainGraceMillis();
      // What came up meanwhile may lead to where the upstream was, and somebody else be there by
      // now.
      if (drained || now >= until || !target.leadsAlike(connection.to)) {
        connection.park(target);
        end(AttemptOutcome.CONNECT_FAILED, null);
        return;
      }
      connection.carry(this);
      FullHttpRequest copy =
          new DefaultFullHttpRequest(
              HttpVersion.HTTP_1_1,
              request.method(),
              request.uri(),
              request.content().retainedDuplicate());
      copy.headers().set("Host", target.member.address().getHostString());
      for (String name : PASSED_ON) {
        String value = request.headers().get(name);
        if (value != null) {
          copy.headers().set(name, value);
        }
      }
      if (copy.content().isReadable() || copy.method().equals(HttpMethod.POST)) {
        copy.headers().set("Content-Length", copy.content().readableBytes());
      }
      // Rounded down: the upstream must not take this balancer to be more patient than it is.
      copy.headers()
          .set(ProtocolHeaders.REMAINING_TIME, ProtocolHeaders.formatSeconds(until - now));
      channel
          .writeAndFlush(copy)
          .addListener(
              write -> {
                written = write.isSuccess();
                if (!written) {
                  broke();
                }
              });
    }

    /** Whether the module may ever send this again once it may have run. */
    private boolean resendable() {
      return !request.method().equals(HttpMethod.POST)
          || request.headers().contains("Idempotency-Key");
    }

    /** The connection is of no more use: what was not written whole can't have run. */
    private void broke() {
      if (!over
          && !Double.isNaN(rested)
          && clock.now() - begunAt < IdleConnectionTrust.IMMEDIATE_RESET_MILLIS) {
        freshness.recordReset(rested);
      }
      giveUp(written ? AttemptOutcome.RESET : AttemptOutcome.CONNECT_FAILED);
    }

    private void expire() {
      giveUp(written ? AttemptOutcome.TIMEOUT : AttemptOutcome.CONNECT_FAILED);
    }

    /** Nobody waits for the request any more: what still waits for its connection is not sent. */
    public void abandonUnlessWritten() {
      if (Double.isNaN(begunAt)) {
        giveUp(AttemptOutcome.NOT_SENT);
      }
    }

    /** Stops waiting, and lets the upstream know by closing the connection. */
    public void cancel() {
      giveUp(AttemptOutcome.CANCELLED);
    }

    /**
     * Ends the attempt with its connection. That is closed first: what the module sends in answer
     * to the outcome would otherwise overtake it, and be a second copy.
     */
    private void giveUp(AttemptOutcome result) {
      if (!over) {
        over = true;
        expiry.cancel(false);
        if (channel != null) {
          channel.close();
        } else {
          List.copyOf(dialled).forEach(Channel::close);
        }
        listener.attemptFinished(result, null);
      }
    }

    private void answered(FullHttpResponse response) {
      if (!Double.isNaN(rested)) {
        freshness.recordSuccess(rested);
      }
      int status = response.status().code();
      boolean turnedAway =
          (status == 503 || status == 504)
              && "1".equals(response.headers().get(ProtocolHeaders.REJECTED));
      AttemptOutcome result =
          turnedAway
              ? AttemptOutcome.FULL
              : status == 200 ? AttemptOutcome.OK : AttemptOutcome.ERROR;
      end(result, response);
    }

    private void end(AttemptOutcome result, FullHttpResponse response) {
      if (!over) {
        over = true;
        expiry.cancel(false);
        listener.attemptFinished(result, response);
      }
    }
  }

  /** The connection that was given back last of those that may be used again, or null. */
  private Connection takeIdle(Target target, boolean resendable) {
    double now = clock.now();
    for (Iterator<Connection> last = target.idle.descendingIterator(); last.hasNext(); ) {
      Connection c = last.next();
      double rested = now - c.idleSince;
      if (rested < settleMillis) {
        continue;
      }
      if (!freshness.trusts(rested, resendable)) {
        // The others have rested for longer; one goes for the new one, so that they don't pile up.
        target.idle.pollFirst().channel.close();
        return null;
      }
      last.remove();
      // The upstream may have closed it, and what is written to it then would count as run.
      DescriptorBudget.readNow(c.channel);
      return c.channel.isActive() ? c : takeIdle(target, resendable);
    }
    return null;
  }

  /** A connection to an upstream; it belongs to one attempt at a time. */
  private final class Connection extends SimpleChannelInboundHandler<FullHttpResponse>
      implements UpstreamResponseDecoder.Connection {

    final Channel channel;
    final UpstreamResponseDecoder decoder = new UpstreamResponseDecoder(this);

    /** When it was last given back; NaN while it is new. */
    double idleSince = Double.NaN;

    /** What it was opened to. */
    private Entry to;

    private Attempt carried;
    private Target home;

    /** Whether an answer has come in part, and more since the last check; the checks so far. */
    private boolean amid;

    private boolean moved;
    private int checks;
    private int informational;
    private Future<?> check;

    Connection(Channel channel) {
      this.channel = channel;
    }

    void carry(Attempt attempt) {
      carried = attempt;
      home = attempt.target;
      decoder.expectBeginning();
      informational = 0;
      checks = 0;
    }

    /** Keeps the connection for the next attempt. */
    void park(Target target) {
      carried = null;
      home = target;
      if (!Double.isNaN(target.toldOff) || !target.leadsAlike(to)) {
        channel.close();
        return;
      }
      idleSince = clock.now();
      target.idle.addLast(this);
    }

    @Override
    public boolean expectsAnswer() {
      return carried != null;
    }

    /**
     * What came is no answer: the attempt may have run, and the connection is of no further use.
     */
    @Override
    public void spoilt() {
      Attempt attempt = carried;
      carried = null;
      channel.close();
      if (attempt != null) {
        attempt.giveUp(attempt.written ? AttemptOutcome.ERROR : AttemptOutcome.CONNECT_FAILED);
      }
    }

    @Override
    public void bytesCame() {
      amid = true;
      moved = true;
    }

    /** Upstreams write an answer at once: one that stays in parts will not be whole in time. */
    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
      if (amid && carried != null && check == null) {
        moved = false;
        check = loop.schedule(this::checkProgress, STALL_MS, TimeUnit.MILLISECONDS);
      }
      ctx.fireChannelReadComplete();
    }

    private void checkProgress() {
      check = null;
      if (!moved || ++checks >= MOST_STALLS) {
        spoilt();
      } else {
        moved = false;
        check = loop.schedule(this::checkProgress, STALL_MS, TimeUnit.MILLISECONDS);
      }
    }

    /** The message is whole, and with it what had come of it. */
    private void endMessage() {
      amid = decoder.holdsMore();
      if (amid) {
        decoder.expectNoBeginning();
      } else {
        decoder.expectBeginning();
      }
      if (check != null) {
        check.cancel(false);
        check = null;
      }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
      endMessage();
      if (carried != null && !channel.isActive()) {
        // What the end of the connection completes is no answer: a crash would look like that too.
        carried.broke();
        return;
      }
      // Nothing is served before a request's last byte is out: that answers another's.
      if (carried == null
          || !response.decoderResult().isSuccess()
          || (!carried.written && response.status().code() == 200)) {
        spoilt();
        return;
      }
      if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
        if (response.status().code() == 101 || ++informational > MOST_AHEAD) {
          spoilt();
        }
        return;
      }
      Attempt attempt = carried;
      carried = null;
      boolean keep =
          !attempt.over
              && attempt.written
              && HttpUtil.isKeepAlive(response)
              && !decoder.holdsMore();
      attempt.answered(response);
      // Only now: the module's next send must not read from a connection that is being read.
      if (keep && channel.isActive()) {
        park(home);
      } else {
        channel.close();
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      if (check != null) {
        check.cancel(false);
      }
      if (home != null) {
        home.idle.remove(this);
      }
      if (carried != null) {
        carried.broke();
      }
      ctx.fireChannelInactive();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      if (cause instanceof IOException || cause instanceof PrematureChannelClosureException) {
        // The end of the channel tells the attempt.
        channel.close();
      } else {
        // An answer that is too large or no HTTP: the upstream has had the request.
        spoilt();
      }
    }
  }
}
