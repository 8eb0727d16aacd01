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

/** Load over HTTP/1.1 with one request at a time per connection. */
public final class HttpLoadGenerator extends LoadGenerator {
  /**
   * Idle connections are closed before the balancer closes them; otherwise a request could be sent
   * while the balancer closes the connection.
   */
  private static final long MAX_IDLE_NANOS = 4_000_000_000L;

  private static final int CONNECT_TIMEOUT_MILLIS = 2000;

  private final HttpConnector connector;
  private final List<RequestKind> kinds;
  private final long deadlineNanos;
  private final int maxConnections;
  private final String idPrefix;
  private final ArrayDeque<Connection> idle = new ArrayDeque<>();
  private final ArrayDeque<Request> waiting = new ArrayDeque<>();
  private int connectionCount;
  private long requestCount;

  /**
   * Creates a load that is not yet running.
   *
   * @param perSecond mean rate, with exponential times between requests; 0 keeps every connection
   *     busy (closed loop)
   * @param deadlineMillis deadline that is sent to the balancer and waited for
   * @param maxConnections connection limit; further requests wait for a connection, which counts as
   *     latency
   */
  public HttpLoadGenerator(
      EventLoop loop,
      InetSocketAddress balancer,
      List<RequestKind> kinds,
      double perSecond,
      long deadlineMillis,
      int maxConnections,
      long seed) {
    this(loop, balancer, kinds, perSecond, deadlineMillis, maxConnections, seed, null);
  }

  /** Creates a load that also records each request by its path in a ledger. */
  public HttpLoadGenerator(
      EventLoop loop,
      InetSocketAddress balancer,
      List<RequestKind> kinds,
      double perSecond,
      long deadlineMillis,
      int maxConnections,
      long seed,
      CallLedger ledger) {
    super(loop, perSecond, maxConnections, seed, ledger);
    this.kinds = List.copyOf(kinds);
    this.deadlineNanos = deadlineMillis * 1_000_000L;
    this.maxConnections = maxConnections;
    this.idPrefix = Long.toHexString(seed) + '-';
    this.connector = new HttpConnector(loop, requireLoopback(balancer), CONNECT_TIMEOUT_MILLIS);
  }

  /** Returns whether a request with this path belongs to this load. */
  public boolean owns(String path) {
    return path.contains('-' + idPrefix);
  }

  public HttpLoadGenerator start() {
    startCalls();
    return this;
  }

  @Override
  void closeConnections() {
    while (!idle.isEmpty()) {
      idle.poll().channel.close();
    }
  }

  @Override
  void sendCall(long intendedNanos) {
    RequestKind kind = drawKind();
    send(new Request(kind, idPrefix + requestCount++, intendedNanos));
  }

  private RequestKind drawKind() {
    double total = 0;
    for (RequestKind kind : kinds) {
      total += kind.share();
    }
    double position = random.nextDouble() * total;
    for (RequestKind kind : kinds) {
      position -= kind.share();
      if (position < 0) {
        return kind;
      }
    }
    return kinds.get(kinds.size() - 1);
  }

  private void send(Request request) {
    long now = System.nanoTime();
    while (!idle.isEmpty()) {
      Connection connection = idle.pollLast();
      if (connection.channel.isActive() && now - connection.idleSinceNanos < MAX_IDLE_NANOS) {
        connection.sendRequest(request);
        return;
      }
      connection.channel.close();
    }
    if (connectionCount < maxConnections) {
      connect(request);
    } else {
      waiting.add(request);
      loop.schedule(
          () -> {
            if (waiting.remove(request)) {
              recordResult(request, LoadStats.Result.LOST);
            }
          },
          deadlineNanos,
          NANOSECONDS);
    }
  }

  private void connect(Request request) {
    connectionCount++;
    Connection connection = new Connection();
    ChannelFuture connecting = connector.connect(connection);
    connection.channel = connecting.channel();
    connecting.addListener(
        done -> {
          if (done.isSuccess()) {
            connection.sendRequest(request);
          } else {
            connectionCount--;
            recordResult(request, LoadStats.Result.LOST);
          }
        });
  }

  private void recordResult(Request request, LoadStats.Result result) {
    recordResult(request.path(), result, request.intendedNanos());
  }

  /** A request that is waiting or in flight. */
  private record Request(RequestKind kind, String id, long intendedNanos) {
    String path() {
      return "/api/" + kind.requestClass() + '-' + id;
    }
  }

  /** One client connection. */
  private final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {
    private Channel channel;
    private Request request;
    private Future<?> timeout;
    private long idleSinceNanos;

    void sendRequest(Request next) {
      request = next;
      RequestKind kind = next.kind();
      FullHttpRequest httpRequest =
          new DefaultFullHttpRequest(
              HttpVersion.HTTP_1_1,
              kind.post() ? HttpMethod.POST : HttpMethod.GET,
              next.path(),
              kind.post() ? Unpooled.wrappedBuffer(new byte[] {'x'}) : Unpooled.EMPTY_BUFFER);
      httpRequest
          .headers()
          .set(HttpHeaderNames.HOST, "balancer")
          .set("X-Request-Id", next.id())
          .set("X-Class", kind.requestClass())
          .set("X-Tenant", kind.tenant())
          .set("X-Deadline", Double.toString(deadlineNanos / 1e9));
      if (kind.post()) {
        HttpUtil.setContentLength(httpRequest, 1);
      }
      if (kind.keyed()) {
        httpRequest.headers().set("Idempotency-Key", next.id());
      }
      timeout =
          loop.schedule(
              () -> closeWith(LoadStats.Result.LOST),
              deadlineNanos + DEADLINE_MARGIN_NANOS,
              NANOSECONDS);
      channel.writeAndFlush(httpRequest);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
      int status = response.status().code();
      boolean keepAlive = HttpUtil.isKeepAlive(response);
      Request completed = takeRequest();
      if (completed == null) {
        channel.close(); // A response without a request.
        return;
      }
      if (keepAlive) {
        idleSinceNanos = System.nanoTime();
        Request next = waiting.poll();
        if (next != null) {
          sendRequest(next);
        } else {
          idle.addLast(this);
        }
      } else {
        channel.close();
      }
      recordResult(
          completed,
          status == 200
              ? LoadStats.Result.SERVED
              : status == 429 || status == 503
                  ? LoadStats.Result.REFUSED
                  : LoadStats.Result.FAILED);
    }

    private Request takeRequest() {
      Request current = request;
      request = null;
      if (timeout != null) {
        timeout.cancel(false);
      }
      return current;
    }

    private void closeWith(LoadStats.Result result) {
      Request current = takeRequest();
      channel.close();
      if (current != null) {
        recordResult(current, result);
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      connectionCount--;
      idle.remove(this);
      closeWith(LoadStats.Result.LOST);
      Request next = waiting.poll();
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
