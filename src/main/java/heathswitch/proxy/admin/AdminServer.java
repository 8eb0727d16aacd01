package heathswitch.proxy.admin;

import static java.nio.charset.StandardCharsets.UTF_8;
import static java.util.concurrent.TimeUnit.SECONDS;

import com.fasterxml.jackson.jr.ob.JSON;
import heathswitch.proxy.runtime.Listeners;
import heathswitch.proxy.runtime.Log;
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
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.timeout.ReadTimeoutHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * The admin listener: JSON over HTTP/1.1 on a loopback address, for operators and the command line.
 * Subsystems add their own pages before the start. Every change is a POST with the header {@link
 * #INTENT_HEADER}: a web page in a browser on the same machine cannot send a custom header across
 * origins, which prevents cross-site request forgery.
 */
public final class AdminServer {
  /** Required on every POST; any value is accepted. */
  public static final String INTENT_HEADER = "X-Heathswitch-Admin";

  /** Further connections are closed at once, since they use file descriptors of the balancer. */
  static final int MAX_CONNECTIONS = 8;

  private static final int MAX_BODY_BYTES = 8192;
  private static final int READ_TIMEOUT_SECONDS = 10;

  /** Handles the requests for one page. */
  public interface PageHandler {
    /**
     * Handles a request on the event loop and replies exactly once, immediately or later.
     *
     * @param subPath the part of the path after the page's name and a slash; may be empty
     * @param reply receives the reply; may be called on any thread
     */
    void handle(String subPath, Consumer<Reply> reply);
  }

  /**
   * The response to an admin request.
   *
   * @param status the HTTP status code
   * @param body the JSON object to write if {@code text} is null
   * @param text the plain text to write, or null
   */
  public record Reply(int status, Map<String, ?> body, String text) {
    /** A successful JSON response. */
    public static Reply ok(Map<String, ?> body) {
      return new Reply(200, body, null);
    }

    /** Metrics in the Prometheus text format. */
    public static Reply prometheusText(String text) {
      return new Reply(200, Map.of(), text);
    }

    /** A JSON error response with its reason. */
    public static Reply error(int status, String reason) {
      return new Reply(status, Map.of("error", reason), null);
    }
  }

  private final EventLoop loop;
  private final Map<String, PageHandler> getHandlers = new HashMap<>();
  private final Map<String, PageHandler> postHandlers = new HashMap<>();
  private Channel listener;
  private int connectionCount;

  /** Creates a server without pages; it runs on the event loop once started. */
  public AdminServer(EventLoop loop) {
    this.loop = loop;
  }

  /** Adds a page for GET requests; its path is a single segment. */
  public AdminServer get(String path, PageHandler handler) {
    getHandlers.put(path, handler);
    return this;
  }

  /** Adds a page for POST requests, which change something; its path is a single segment. */
  public AdminServer post(String path, PageHandler handler) {
    postHandlers.put(path, handler);
    return this;
  }

  /** Starts to listen; fails if the address cannot be bound. Must not run on the event loop. */
  public void start(InetSocketAddress address) throws InterruptedException {
    listener = Listeners.bootstrap(loop, this::onAccept).bind(address).sync().channel();
  }

  /** Returns the address that is listened on. */
  public InetSocketAddress address() {
    return (InetSocketAddress) listener.localAddress();
  }

  private void onAccept(Channel channel) {
    connectionCount++;
    channel.closeFuture().addListener(closed -> connectionCount--);
    if (connectionCount > MAX_CONNECTIONS) {
      channel.close();
      return;
    }
    channel
        .pipeline()
        .addLast(
            new ReadTimeoutHandler(READ_TIMEOUT_SECONDS, SECONDS),
            new HttpServerCodec(4096, 8192, 8192),
            new HttpObjectAggregator(MAX_BODY_BYTES),
            new RequestHandler());
  }

  private final class RequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
      boolean keepAlive = HttpUtil.isKeepAlive(request) && request.decoderResult().isSuccess();
      dispatch(request, reply -> loop.execute(() -> write(ctx, reply, keepAlive)));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      ctx.close(); // Read timeout or broken connection; the client can connect again.
    }
  }

  private void dispatch(FullHttpRequest request, Consumer<Reply> reply) {
    if (request.decoderResult().isFailure()) {
      reply.accept(Reply.error(400, "malformed request"));
      return;
    }
    String path = request.uri().substring(request.uri().startsWith("/") ? 1 : 0);
    int slash = path.indexOf('/');
    String page = slash < 0 ? path : path.substring(0, slash);
    String subPath = slash < 0 ? "" : path.substring(slash + 1);
    boolean isPost = request.method().equals(HttpMethod.POST);
    PageHandler handler = (isPost ? postHandlers : getHandlers).get(page);
    if (handler == null || !isPost && !request.method().equals(HttpMethod.GET)) {
      reply.accept(Reply.error(404, "no such page"));
    } else if (isPost && !request.headers().contains(INTENT_HEADER)) {
      reply.accept(Reply.error(403, "the header " + INTENT_HEADER + " is expected"));
    } else {
      try {
        handler.handle(subPath, reply);
      } catch (RuntimeException e) {
        Log.error("admin", "page " + page + " failed", e);
        reply.accept(Reply.error(500, "internal error; see the log"));
      }
    }
  }

  private static void write(ChannelHandlerContext ctx, Reply reply, boolean keepAlive) {
    byte[] body;
    try {
      String text = reply.text();
      body = (text == null ? JSON.std.asString(reply.body()) + "\n" : text).getBytes(UTF_8);
    } catch (IOException e) {
      Log.error("admin", "response could not be serialized to JSON", e);
      ctx.close();
      return;
    }
    FullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.valueOf(reply.status()),
            Unpooled.wrappedBuffer(body));
    String type = reply.text() == null ? "application/json" : "text/plain; version=0.0.4";
    response.headers().set(HttpHeaderNames.CONTENT_TYPE, type);
    HttpUtil.setContentLength(response, body.length);
    HttpUtil.setKeepAlive(response, keepAlive);
    ctx.writeAndFlush(response)
        .addListener(
            keepAlive ? ChannelFutureListener.CLOSE_ON_FAILURE : ChannelFutureListener.CLOSE);
  }
}
