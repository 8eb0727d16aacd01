package heathswitch.testbed.client;

import static java.util.concurrent.TimeUnit.NANOSECONDS;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.List;

/** Clients over HTTP/1.1, one request at a time on a connection. */
public final class OpenLoop extends Load {
  /** Idle connections are closed before the balancer does, or a request could cross its close. */
  private static final long KEEP_NANOS = 4_000_000_000L;

  private static final int CONNECT_MILLIS = 2000;

  private final HttpDialer dialer;
  private final List<Kind> kinds;
  private final long deadlineNanos;
  private final int mostConnections;
  private final String prefix;
  private final ArrayDeque<Connection> idle = new ArrayDeque<>();
  private final ArrayDeque<Ask> waiting = new ArrayDeque<>();
  private int connections;
  private long number;

  /**
   * A load that is not yet running.
   *
   * @param perSecond mean rate, with exponential times between requests; 0 keeps every connection
   *     busy
   * @param deadlineMillis told to the balancer, and waited for
   * @param mostConnections beyond these, requests wait for one, and that counts as latency
   */
  public OpenLoop(
      EventLoop loop,
      InetSocketAddress balancer,
      List<Kind> kinds,
      double perSecond,
      long deadlineMillis,
      int mostConnections,
      long seed) {
    this(loop, balancer, kinds, perSecond, deadlineMillis, mostConnections, seed, null);
  }

  /** As above, with each request told to a ledger by its path. */
  public OpenLoop(
      EventLoop loop,
      InetSocketAddress balancer,
      List<Kind> kinds,
      double perSecond,
      long deadlineMillis,
      int mostConnections,
      long seed,
      Ledger ledger) {
    super(loop, perSecond, mostConnections, seed, ledger);
    this.kinds = List.copyOf(kinds);
    this.deadlineNanos = deadlineMillis * 1_000_000L;
    this.mostConnections = mostConnections;
    this.prefix = Long.toHexString(seed) + '-';
    this.dialer = new HttpDialer(loop, loopback(balancer), CONNECT_MILLIS);
  }

  /** Whether a call's path is of this load. */
  public boolean owns(String path) {
    return path.contains('-' + prefix);
  }

  public OpenLoop start() {
    begin();
    return this;
  }

  @Override
  void closeAll() {
    while (!idle.isEmpty()) {
      idle.poll().channel.close();
    }
  }

  @Override
  void call(long intendedNanos) {
    Kind kind = draw();
    send(new Ask(kind, prefix + number++, intendedNanos));
  }

  private Kind draw() {
    double total = 0;
    for (Kind kind : kinds) {
      total += kind.share();
    }
    double at = random.nextDouble() * total;
    for (Kind kind : kinds) {
      at -= kind.share();
      if (at < 0) {
        return kind;
      }
    }
    return kinds.get(kinds.size() - 1);
  }

  private void send(Ask ask) {
    long now = System.nanoTime();
    while (!idle.isEmpty()) {
      Connection connection = idle.pollLast();
      if (connection.channel.isActive() && now - connection.idleSinceNanos < KEEP_NANOS) {
        connection.begin(ask);
        return;
      }
      connection.channel.close();
    }
    if (connections < mostConnections) {
      connect(ask);
    } else {
      waiting.add(ask);
      loop.schedule(
          () -> {
            if (waiting.remove(ask)) {
              result(ask, Tally.Result.LOST);
            }
          },
          deadlineNanos,
          NANOSECONDS);
    }
  }

  private void connect(Ask ask) {
    connections++;
    Connection connection = new Connection();
    ChannelFuture connecting = dialer.connect(connection);
    connection.channel = connecting.channel();
    connecting.addListener(
        done -> {
          if (done.isSuccess()) {
            connection.begin(ask);
          } else {
            connections--;
            result(ask, Tally.Result.LOST);
          }
        });
  }

  private void result(Ask ask, Tally.Result result) {
    result(ask.path(), result, ask.intendedNanos());
  }

  private record Ask(Kind kind, String id, long intendedNanos) {
    String path() {
      return "/api/" + kind.type() + '-' + id;
    }
  }

  private final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {
    private Channel channel;
    private Ask ask;
    private Future<?> timeout;
    private long idleSinceNanos;

    void begin(Ask next) {
      ask = next;
      Kind kind = next.kind();
      FullHttpRequest request =
          new DefaultFullHttpRequest(
              HttpVersion.HTTP_1_1,
              kind.post() ? HttpMethod.POST : HttpMethod.GET,
              next.path(),
              kind.post() ? Unpooled.wrappedBuffer(new byte[] {'x'}) : Unpooled.EMPTY_BUFFER);
      request
          .headers()
          .set(HttpHeaderNames.HOST, "balancer")
          .set("X-Request-Id", next.id())
          .set("X-Class", kind.type())
          .set("X-Tenant", kind.tenant())
          .set("X-Deadline", Double.toString(deadlineNanos / 1e9));
      if (kind.post()) {
        HttpUtil.setContentLength(request, 1);
      }
      if (kind.keyed()) {
        request.headers().set("Idempotency-Key", next.id());
      }
      timeout =
          loop.schedule(() -> end(Tally.Result.LOST), deadlineNanos + MARGIN_NANOS, NANOSECONDS);
      channel.writeAndFlush(request);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse answer) {
      int status = answer.status().code();
      boolean keep = HttpUtil.isKeepAlive(answer);
      Ask answered = finished();
      if (answered == null) {
        channel.close(); // Nobody asked.
        return;
      }
      if (keep) {
        idleSinceNanos = System.nanoTime();
        Ask next = waiting.poll();
        if (next != null) {
          begin(next);
        } else {
          idle.addLast(this);
        }
      } else {
        channel.close();
      }
      result(
          answered,
          status == 200
              ? Tally.Result.SERVED
              : status == 429 || status == 503 ? Tally.Result.REFUSED : Tally.Result.FAILED);
    }

    private Ask finished() {
      Ask now = ask;
      ask = null;
      if (timeout != null) {
        timeout.cancel(false);
      }
      return now;
    }

    private void end(Tally.Result result) {
      Ask now = finished();
      channel.close();
      if (now != null) {
        result(now, result);
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      connections--;
      idle.remove(this);
      end(Tally.Result.LOST);
      Ask next = waiting.poll();
      if (next != null) {
        send(next);
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      channel.close();
    }
  }
}
