package heathswitch.testbed.platform;

import static java.util.concurrent.TimeUnit.MILLISECONDS;
import static java.util.concurrent.TimeUnit.NANOSECONDS;

import heathswitch.testbed.client.HttpDialer;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;

/**
 * Clients of one balancer as the platform has them: they use every connection that stays open, up
 * to the end of the process, and open more when all are busy. A request that crosses the end of a
 * resting connection is sent once more on a new one; where that cannot be made nobody has taken it.
 * Whatever else ends without a whole answer in time is lost. On one event loop.
 */
public final class KeepAliveLoad {
  /** What became of the requests. */
  public record Counts(long sent, long served, long refused, long failed, long unreached) {}

  /**
   * A request that was taken and not answered.
   *
   * @param sentAgain whether it had crossed the end of a resting connection before
   * @param answeredBefore whether another request had been answered on its connection
   * @param connectionMillis for how long its connection had been open
   * @param millis how long ago it was sent, the last time
   * @param stoppingMillis how long ago its process was told to end; -1 if it was not
   */
  public record LostRequest(
      String path,
      String why,
      boolean sentAgain,
      boolean answeredBefore,
      long connectionMillis,
      long millis,
      long stoppingMillis) {}

  /** A final answer may be late by as much and only earns nothing. */
  private static final long LATE_MILLIS = 500;

  private static final int CONNECT_MILLIS = 1000;
  private static final double UNSAFE_SHARE = 0.2;

  private final EventLoop loop;
  private final String prefix;
  private final double perSecond;
  private final long deadlineMillis;
  private final SplittableRandom random;
  private final HttpDialer dialer;
  private final ArrayDeque<Connection> resting = new ArrayDeque<>();
  private final List<LostRequest> lost = new ArrayList<>();
  private boolean stopped;
  private boolean killed;
  private boolean stopping;
  private long stoppingNanos;
  private long owed;
  private long sent;
  private long served;
  private long refused;
  private long failed;
  private long unreached;

  KeepAliveLoad(
      EventLoop loop,
      InetSocketAddress balancer,
      double perSecond,
      long deadlineMillis,
      long seed) {
    this.loop = loop;
    this.prefix = "l" + Long.toHexString(seed) + '-';
    this.perSecond = perSecond;
    this.deadlineMillis = deadlineMillis;
    this.random = new SplittableRandom(seed);
    this.dialer = new HttpDialer(loop, balancer, CONNECT_MILLIS);
  }

  KeepAliveLoad start() {
    loop.execute(this::plan);
    return this;
  }

  /** Whether a request's path is of this load. */
  boolean owns(String path) {
    return path.contains('-' + prefix);
  }

  /** Its process is told to end now. */
  void stopping() {
    long now = System.nanoTime();
    run(
        () -> {
          stopping = true;
          stoppingNanos = now;
          return null;
        });
  }

  /** Its process is being killed now: from here on the end of a connection is no crossing. */
  void killed() {
    run(() -> killed = true);
  }

  /** No new requests, on new connections or open ones. */
  void stop() {
    run(() -> stopped = true);
  }

  /** Whether every request has had its end. */
  boolean settled() {
    return run(() -> owed == 0);
  }

  Counts counts() {
    return run(() -> new Counts(sent, served, refused, failed, unreached));
  }

  List<LostRequest> lost() {
    return run(() -> List.copyOf(lost));
  }

  void close() {
    run(
        () -> {
          resting.forEach(connection -> connection.channel.close());
          resting.clear();
          return null;
        });
  }

  private <T> T run(Callable<T> task) {
    return loop.submit(task).syncUninterruptibly().getNow();
  }

  private void plan() {
    long wait = (long) (-Math.log(1 - random.nextDouble()) / perSecond * 1e9);
    loop.schedule(
        () -> {
          if (!stopped) {
            send();
            plan();
          }
        },
        wait,
        NANOSECONDS);
  }

  private void send() {
    sent++;
    owed++;
    boolean unsafe = random.nextDouble() < UNSAFE_SHARE;
    Request request = new Request(prefix + sent, unsafe);
    Connection connection = resting.pollLast();
    while (connection != null && !connection.channel.isActive()) {
      connection = resting.pollLast();
    }
    if (connection == null) {
      connect(request);
    } else {
      connection.begin(request);
    }
  }

  private void connect(Request request) {
    Connection connection = new Connection();
    ChannelFuture connecting = dialer.connect(connection);
    connection.channel = connecting.channel();
    connecting.addListener(
        done -> {
          if (done.isSuccess()) {
            connection.openedNanos = System.nanoTime();
            connection.begin(request);
          } else {
            unreached++;
            owed--;
          }
        });
  }

  private static long millisSince(long nanos) {
    return NANOSECONDS.toMillis(System.nanoTime() - nanos);
  }

  private void lose(Connection connection, Request request, String why) {
    lost.add(
        new LostRequest(
            request.path(),
            why,
            request.again,
            connection.used,
            millisSince(connection.openedNanos),
            millisSince(connection.begunNanos),
            stopping ? millisSince(stoppingNanos) : -1));
    owed--;
  }

  private static final class Request {
    private final String id;
    private final boolean unsafe;
    private boolean again;

    Request(String id, boolean unsafe) {
      this.id = id;
      this.unsafe = unsafe;
    }

    String path() {
      return "/api/" + (unsafe ? "publish-" : "view-") + id;
    }
  }

  private final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {
    private Channel channel;
    private Request request;
    private boolean used;
    private int turn;
    private long openedNanos;
    private long begunNanos;

    void begin(Request next) {
      request = next;
      begunNanos = System.nanoTime();
      int current = ++turn;
      HttpMethod method = next.unsafe ? HttpMethod.POST : HttpMethod.GET;
      DefaultFullHttpRequest message =
          new DefaultFullHttpRequest(
              HttpVersion.HTTP_1_1,
              method,
              next.path(),
              next.unsafe ? Unpooled.wrappedBuffer(new byte[] {'x'}) : Unpooled.EMPTY_BUFFER);
      message
          .headers()
          .set(HttpHeaderNames.HOST, "balancer")
          .set("X-Request-Id", next.id)
          .set("X-Class", next.unsafe ? "publish" : "view")
          .set("X-Tenant", "school")
          .set("X-Deadline", Double.toString(deadlineMillis / 1e3));
      if (next.unsafe) {
        HttpUtil.setContentLength(message, 1);
      }
      channel.writeAndFlush(message);
      loop.schedule(() -> overdue(current), deadlineMillis + LATE_MILLIS, MILLISECONDS);
    }

    private void overdue(int begun) {
      if (request != null && turn == begun) {
        lose(this, take(), "no answer in time");
        channel.close();
      }
    }

    private Request take() {
      Request taken = request;
      request = null;
      return taken;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse answer) {
      if (request == null) {
        channel.close();
        return;
      }
      take();
      owed--;
      switch (answer.status().code()) {
        case 200 -> served++;
        case 429, 503 -> refused++;
        default -> failed++;
      }
      used = true;
      if (HttpUtil.isKeepAlive(answer)) {
        resting.addLast(this);
      } else {
        channel.close();
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      resting.remove(this);
      Request unanswered = take();
      if (unanswered == null) {
        return;
      }
      if (used && !unanswered.again && !killed) {
        unanswered.again = true;
        connect(unanswered);
      } else {
        lose(this, unanswered, killed ? "found by SIGKILL" : "connection ended");
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      ctx.close();
    }
  }
}
