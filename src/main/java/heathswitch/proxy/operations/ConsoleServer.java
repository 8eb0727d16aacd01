package heathswitch.proxy.operations;

import static java.nio.charset.StandardCharsets.US_ASCII;
import static java.util.concurrent.TimeUnit.SECONDS;

import heathswitch.proxy.runtime.Listeners;
import heathswitch.proxy.runtime.Log;
import heathswitch.proxy.runtime.ResourceBudget;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.function.Consumer;

/**
 * HTTP/1.1 server on the operators' address. Each connection carries one request, which is answered
 * with a status and one line of text. The server runs on the balancer's event loop. The number and
 * the lifetime of connections are limited, so that silent connections do not block other operators.
 */
final class ConsoleServer {
  /** The commands of operators; called on the event loop, where each is also answered once. */
  interface Commands {
    /** Whether the balancer accepts clients. */
    boolean isReady();

    /** Suspends or resumes an upstream; {@code done} gets the status to answer. */
    void setSuspended(String id, boolean suspended, Consumer<HttpResponseStatus> done);

    /** Starts or ends draining the balancer. */
    void setDraining(boolean draining);
  }

  /** Above this number the oldest connection is closed. */
  static final int MAX_CONNECTIONS = 24;

  private static final int CONNECTION_TIMEOUT_SECONDS = 8;
  private static final int MAX_BODY_BYTES = 8192;
  private static final String UPSTREAM_PATH_PREFIX = "/v1/upstreams/";

  private final EventLoop loop;
  private final ResourceBudget budget;
  private final Commands commands;
  private final Set<Channel> openConnections = new LinkedHashSet<>();
  private Channel listener;

  ConsoleServer(EventLoop loop, ResourceBudget budget, Commands commands) {
    this.loop = loop;
    this.budget = budget;
    this.commands = commands;
  }

  /** Binds the address; fails if it is not available. Must not be called on the event loop. */
  void start(InetSocketAddress address) throws InterruptedException {
    listener = Listeners.bootstrap(loop, this::onAccepted).bind(address).sync().channel();
  }

  InetSocketAddress address() {
    return (InetSocketAddress) listener.localAddress();
  }

  private void onAccepted(Channel channel) {
    budget.connectionOpened();
    openConnections.add(channel);
    channel
        .closeFuture()
        .addListener(
            closed -> {
              budget.connectionClosed();
              openConnections.remove(channel);
            });
    if (openConnections.size() > MAX_CONNECTIONS) {
      openConnections.iterator().next().close();
    }
    channel
        .pipeline()
        .addLast(
            new HttpServerCodec(4096, 8192, 8192),
            new HttpObjectAggregator(MAX_BODY_BYTES),
            new RequestHandler());
    Future<?> timeout = loop.schedule(() -> channel.close(), CONNECTION_TIMEOUT_SECONDS, SECONDS);
    channel.closeFuture().addListener(closed -> timeout.cancel(false));
  }

  private final class RequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
    private boolean requestRead;

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
      if (!requestRead) {
        requestRead = true;
        route(request, status -> writeResponse(ctx, status));
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      if (!(cause instanceof IOException)) {
        Log.warn("console", "connection closed: " + cause);
      }
      ctx.close();
    }
  }

  private void route(FullHttpRequest request, Consumer<HttpResponseStatus> reply) {
    String path;
    try {
      if (request.decoderResult().isFailure()) {
        throw new IllegalArgumentException("malformed");
      }
      path = new QueryStringDecoder(request.uri()).rawPath();
      switch (path) {
        case "/v1/readyz" ->
            replyToGet(request, commands.isReady() ? HttpResponseStatus.OK : unavailable(), reply);
        case "/v1/balancer/drain" -> runPut(request, () -> setDraining(true, reply), reply);
        case "/v1/balancer/activate" -> runPut(request, () -> setDraining(false, reply), reply);
        default -> routeUpstream(request, path, reply);
      }
    } catch (IllegalArgumentException e) {
      reply.accept(HttpResponseStatus.BAD_REQUEST); // Includes invalid escapes in an id.
    }
  }

  private void routeUpstream(
      FullHttpRequest request, String path, Consumer<HttpResponseStatus> reply) {
    int end = path.lastIndexOf('/');
    String action = path.substring(end + 1);
    boolean suspend = action.equals("suspend");
    if (!path.startsWith(UPSTREAM_PATH_PREFIX)
        || end < UPSTREAM_PATH_PREFIX.length()
        || !suspend && !action.equals("resume")) {
      reply.accept(HttpResponseStatus.NOT_FOUND);
      return;
    }
    String id =
        QueryStringDecoder.decodeComponent(path.substring(UPSTREAM_PATH_PREFIX.length(), end));
    runPut(request, () -> commands.setSuspended(id, suspend, reply), reply);
  }

  private void setDraining(boolean draining, Consumer<HttpResponseStatus> reply) {
    commands.setDraining(draining);
    reply.accept(HttpResponseStatus.OK);
  }

  private static HttpResponseStatus unavailable() {
    return HttpResponseStatus.SERVICE_UNAVAILABLE;
  }

  private static void replyToGet(
      FullHttpRequest request, HttpResponseStatus status, Consumer<HttpResponseStatus> reply) {
    reply.accept(
        request.method().equals(HttpMethod.GET) ? status : HttpResponseStatus.METHOD_NOT_ALLOWED);
  }

  private static void runPut(
      FullHttpRequest request, Runnable command, Consumer<HttpResponseStatus> reply) {
    if (request.method().equals(HttpMethod.PUT)) {
      command.run();
    } else {
      reply.accept(HttpResponseStatus.METHOD_NOT_ALLOWED);
    }
  }

  private static void writeResponse(ChannelHandlerContext ctx, HttpResponseStatus status) {
    FullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            status,
            Unpooled.copiedBuffer(status.reasonPhrase() + "\n", US_ASCII));
    response.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.TEXT_PLAIN);
    response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    HttpUtil.setContentLength(response, response.content().readableBytes());
    ctx.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
  }
}
