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
 * The second address: a call to a connection, in HTTP/1.1, answered with a status and a line. It
 * shares the balancer's loop. Connections on which no call is finished are bounded in number and in
 * time, so that those who connect and say nothing keep nobody else from being heard.
 */
final class ConsoleServer {
  /** The operators' calls; each answers once, on the loop. */
  interface Commands {
    /** Whether the balancer takes clients. */
    boolean ready();

    /** Takes an upstream out, or puts it back; the status to answer. */
    void mark(String id, boolean out, Consumer<HttpResponseStatus> done);

    /** Empties the balancer, or takes it into use again. */
    void empty(boolean empty);
  }

  /** The oldest goes where there would be more. */
  static final int MOST_CONNECTIONS = 24;

  private static final int SILENCE_SECONDS = 8;
  private static final int MOST_BODY_BYTES = 8192;
  private static final String UPSTREAMS = "/v1/upstreams/";

  private final EventLoop loop;
  private final ResourceBudget budget;
  private final Commands calls;
  private final Set<Channel> open = new LinkedHashSet<>();
  private Channel listener;

  ConsoleServer(EventLoop loop, ResourceBudget budget, Commands calls) {
    this.loop = loop;
    this.budget = budget;
    this.calls = calls;
  }

  /** Listens; fails if the address cannot be had. Must not be called on the loop. */
  void start(InetSocketAddress address) throws InterruptedException {
    listener = Listeners.bootstrap(loop, this::accepted).bind(address).sync().channel();
  }

  InetSocketAddress address() {
    return (InetSocketAddress) listener.localAddress();
  }

  private void accepted(Channel channel) {
    budget.connectionOpened();
    open.add(channel);
    channel
        .closeFuture()
        .addListener(
            closed -> {
              budget.connectionClosed();
              open.remove(channel);
            });
    if (open.size() > MOST_CONNECTIONS) {
      open.iterator().next().close();
    }
    channel
        .pipeline()
        .addLast(
            new HttpServerCodec(4096, 8192, 8192),
            new HttpObjectAggregator(MOST_BODY_BYTES),
            new Handler());
    Future<?> end = loop.schedule(() -> channel.close(), SILENCE_SECONDS, SECONDS);
    channel.closeFuture().addListener(closed -> end.cancel(false));
  }

  private final class Handler extends SimpleChannelInboundHandler<FullHttpRequest> {
    private boolean asked;

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
      if (!asked) {
        asked = true;
        answer(request, status -> write(ctx, status));
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

  private void answer(FullHttpRequest request, Consumer<HttpResponseStatus> reply) {
    String path;
    try {
      if (request.decoderResult().isFailure()) {
        throw new IllegalArgumentException("malformed");
      }
      path = new QueryStringDecoder(request.uri()).rawPath();
      switch (path) {
        case "/v1/readyz" ->
            get(request, calls.ready() ? HttpResponseStatus.OK : unavailable(), reply);
        case "/v1/balancer/drain" -> put(request, () -> empty(true, reply), reply);
        case "/v1/balancer/activate" -> put(request, () -> empty(false, reply), reply);
        default -> upstream(request, path, reply);
      }
    } catch (IllegalArgumentException e) {
      reply.accept(HttpResponseStatus.BAD_REQUEST); // Also an id that is wrongly escaped.
    }
  }

  private void upstream(FullHttpRequest request, String path, Consumer<HttpResponseStatus> reply) {
    int end = path.lastIndexOf('/');
    String what = path.substring(end + 1);
    boolean out = what.equals("suspend");
    if (!path.startsWith(UPSTREAMS) || end < UPSTREAMS.length() || !out && !what.equals("resume")) {
      reply.accept(HttpResponseStatus.NOT_FOUND);
      return;
    }
    String id = QueryStringDecoder.decodeComponent(path.substring(UPSTREAMS.length(), end));
    put(request, () -> calls.mark(id, out, reply), reply);
  }

  private void empty(boolean empty, Consumer<HttpResponseStatus> reply) {
    calls.empty(empty);
    reply.accept(HttpResponseStatus.OK);
  }

  private static HttpResponseStatus unavailable() {
    return HttpResponseStatus.SERVICE_UNAVAILABLE;
  }

  private static void get(
      FullHttpRequest request, HttpResponseStatus status, Consumer<HttpResponseStatus> reply) {
    reply.accept(
        request.method().equals(HttpMethod.GET) ? status : HttpResponseStatus.METHOD_NOT_ALLOWED);
  }

  private static void put(
      FullHttpRequest request, Runnable call, Consumer<HttpResponseStatus> reply) {
    if (request.method().equals(HttpMethod.PUT)) {
      call.run();
    } else {
      reply.accept(HttpResponseStatus.METHOD_NOT_ALLOWED);
    }
  }

  private static void write(ChannelHandlerContext ctx, HttpResponseStatus status) {
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
