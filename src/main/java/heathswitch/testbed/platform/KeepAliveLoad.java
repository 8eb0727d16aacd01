package heathswitch.testbed.platform;

import static java.util.concurrent.TimeUnit.MILLISECONDS;
import static java.util.concurrent.TimeUnit.NANOSECONDS;

import heathswitch.testbed.client.HttpConnector;
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
 * A load on one balancer by clients that behave like those of the platform. They reuse every open
 * connection until the process ends, and open another one if all are busy. A request that is sent
 * while an idle connection is being closed is sent once more on a new connection. If a connection
 * can't be opened, the request counts as unreached, since no balancer received it. Any other
 * request without a complete answer in time counts as lost. All state belongs to one event loop.
 */
public final class KeepAliveLoad {
  /** The number of requests sent, and of each outcome. */
  public record Counts(long sent, long served, long refused, long failed, long unreached) {}

  /**
   * A request that was sent and not answered.
   *
   * @param resent whether it was sent a second time, after its idle connection had been closed
   * @param answeredBefore whether an earlier request had been answered on its connection
   * @param connectionAgeMillis time since its connection was opened
   * @param millis time since it was last sent
   * @param millisSinceStopping time since the process was sent SIGTERM; -1 if it was not
   */
  public record LostRequest(
      String path,
      String reason,
      boolean resent,
      boolean answeredBefore,
      long connectionAgeMillis,
      long millis,
      long millisSinceStopping) {}

  /** An answer that is late by at most this much is worth nothing, but isn't lost. */
  private static final long LATE_MILLIS = 500;

  private static final int CONNECT_TIMEOUT_MILLIS = 1000;
  private static final double UNSAFE_SHARE = 0.2;

  private final EventLoop loop;
  private final String prefix;
  private final double perSecond;
  private final long deadlineMillis;
  private final SplittableRandom random;
  private final HttpConnector dialer;
  private final ArrayDeque<Connection> idle = new ArrayDeque<>();
  private final List<LostRequest> lost = new ArrayList<>();
  private boolean stopped;
  private boolean killed;
  private boolean stopSignalled;
  private long stopSignalledNanos;
  private long outstanding;
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
    this.dialer = new HttpConnector(loop, balancer, CONNECT_TIMEOUT_MILLIS);
  }

  KeepAliveLoad start() {
    loop.execute(this::scheduleNext);
    return this;
  }

  /** Whether a path belongs to a request of this load. */
  boolean owns(String path) {
    return path.contains('-' + prefix);
  }

  /** Records that the process is sent SIGTERM now. */
  void stopSignalled() {
    long now = System.nanoTime();
    run(
        () -> {
          stopSignalled = true;
          stopSignalledNanos = now;
          return null;
        });
  }

  /**
   * Records that the process is killed now. From here on a request whose connection is closed is
   * lost; it isn't sent again.
   */
  void killed() {
    run(() -> killed = true);
  }

  /** Stops sending new requests. */
  void stop() {
    run(() -> stopped = true);
  }

  /** Whether every request has an outcome. */
  boolean settled() {
    return run(() -> outstanding == 0);
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
          idle.forEach(connection -> connection.channel.close());
          idle.clear();
          return null;
        });
  }

  private <T> T run(Callable<T> task) {
    return loop.submit(task).syncUninterruptibly().getNow();
  }

  private void scheduleNext() {
    long wait = (long) (-Math.log(1 - random.nextDouble()) / perSecond * 1e9);
    loop.schedule(
        () -> {
          if (!stopped) {
            send();
            scheduleNext();
          }
        },
        wait,
        NANOSECONDS);
  }

  private void send() {
    sent++;
    outstanding++;
    boolean unsafe = random.nextDouble() < UNSAFE_SHARE;
    Request request = new Request(prefix + sent, unsafe);
    Connection connection = idle.pollLast();
    while (connection != null && !connection.channel.isActive()) {
      connection = idle.pollLast();
    }
    if (connection == null) {
      connect(request);
    } else {
      connection.send(request);
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
            connection.send(request);
          } else {
            unreached++;
            outstanding--;
          }
        });
  }

  private static long millisSince(long nanos) {
    return NANOSECONDS.toMillis(System.nanoTime() - nanos);
  }

  private void addLost(Connection connection, Request request, String reason) {
    lost.add(
        new LostRequest(
            request.path(),
            reason,
            request.resent,
            connection.answered,
            millisSince(connection.openedNanos),
            millisSince(connection.sentNanos),
            stopSignalled ? millisSince(stopSignalledNanos) : -1));
    outstanding--;
  }

  /** A request, which is sent at most twice. */
  private static final class Request {
    private final String id;
    private final boolean unsafe;
    private boolean resent;

    Request(String id, boolean unsafe) {
      this.id = id;
      this.unsafe = unsafe;
    }

    String path() {
      return "/api/" + (unsafe ? "publish-" : "view-") + id;
    }
  }

  /** A connection, with at most one request at a time. */
  private final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {
    private Channel channel;
    private Request request;
    private boolean answered;
    private int requestNumber;
    private long openedNanos;
    private long sentNanos;

    void send(Request next) {
      request = next;
      sentNanos = System.nanoTime();
      int current = ++requestNumber;
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
      loop.schedule(() -> handleTimeout(current), deadlineMillis + LATE_MILLIS, MILLISECONDS);
    }

    private void handleTimeout(int expected) {
      if (request != null && requestNumber == expected) {
        addLost(this, removeRequest(), "no answer in time");
        channel.close();
      }
    }

    private Request removeRequest() {
      Request removed = request;
      request = null;
      return removed;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse answer) {
      if (request == null) {
        channel.close();
        return;
      }
      removeRequest();
      outstanding--;
      switch (answer.status().code()) {
        case 200 -> served++;
        case 429, 503 -> refused++;
        default -> failed++;
      }
      answered = true;
      if (HttpUtil.isKeepAlive(answer)) {
        idle.addLast(this);
      } else {
        channel.close();
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      idle.remove(this);
      Request unanswered = removeRequest();
      if (unanswered == null) {
        return;
      }
      if (answered && !unanswered.resent && !killed) {
        unanswered.resent = true;
        connect(unanswered);
      } else {
        addLost(this, unanswered, killed ? "unanswered at SIGKILL" : "connection closed");
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      ctx.close();
    }
  }
}
