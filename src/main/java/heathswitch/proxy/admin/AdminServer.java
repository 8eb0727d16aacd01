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
 * A subsystem adds its own pages before the start. Whatever changes something is a POST with the
 * header {@link #INTENT}, which a page in a browser on the same machine cannot send unasked.
 */
public final class AdminServer {
  /** Must be on every POST, with any value. */
  public static final String INTENT = "X-Heathswitch-Admin";

  /** Connections beyond these are closed at once; descriptors are the balancer's. */
  static final int MOST_CONNECTIONS = 8;

  private static final int MOST_BODY_BYTES = 8192;
  private static final int SILENCE_SECONDS = 10;

  /** One page: called on the loop, it answers now or later, once. */
  public interface Page {
    /**
     * Answers a request.
     *
     * @param rest what follows the page's path, without its slash; empty for nothing
     */
    void answer(String rest, Consumer<Reply> reply);
  }

  /**
   * An answer.
   *
   * @param body written as JSON where there is no text
   * @param text written as it is, or null
   */
  public record Reply(int status, Map<String, ?> body, String text) {
    public static Reply ok(Map<String, ?> body) {
      return new Reply(200, body, null);
    }

    /** Figures in the text form of Prometheus. */
    public static Reply figures(String text) {
      return new Reply(200, Map.of(), text);
    }

    /** An error with its reason. */
    public static Reply error(int status, String reason) {
      return new Reply(status, Map.of("error", reason), null);
    }
  }

  private final EventLoop loop;
  private final Map<String, Page> gets = new HashMap<>();
  private final Map<String, Page> posts = new HashMap<>();
  private Channel listener;
  private int connections;

  public AdminServer(EventLoop loop) {
    this.loop = loop;
  }

  /** Adds a page to be read; its path is one word. */
  public AdminServer get(String path, Page page) {
    gets.put(path, page);
    return this;
  }

  /** Adds a page that changes something. */
  public AdminServer post(String path, Page page) {
    posts.put(path, page);
    return this;
  }

  /** Listens; fails if the address cannot be had. Must not be called on the loop. */
  public void start(InetSocketAddress address) throws InterruptedException {
    listener = Listeners.bootstrap(loop, this::accepted).bind(address).sync().channel();
  }

  public InetSocketAddress address() {
    return (InetSocketAddress) listener.localAddress();
  }

  private void accepted(Channel channel) {
    connections++;
    channel.closeFuture().addListener(closed -> connections--);
    if (connections > MOST_CONNECTIONS) {
      channel.close();
      return;
    }
    channel
        .pipeline()
        .addLast(
            new ReadTimeoutHandler(SILENCE_SECONDS, SECONDS),
            new HttpServerCodec(4096, 8192, 8192),
            new HttpObjectAggregator(MOST_BODY_BYTES),
            new Handler());
  }

  private final class Handler extends SimpleChannelInboundHandler<FullHttpRequest> {
    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
      boolean keep = HttpUtil.isKeepAlive(request) && request.decoderResult().isSuccess();
      answer(request, reply -> loop.execute(() -> write(ctx, reply, keep)));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      ctx.close(); // Silent too long, or broken: the next connection does better.
    }
  }

  private void answer(FullHttpRequest request, Consumer<Reply> reply) {
    if (request.decoderResult().isFailure()) {
      reply.accept(Reply.error(400, "malformed request"));
      return;
    }
    String path = request.uri().substring(request.uri().startsWith("/") ? 1 : 0);
    int slash = path.indexOf('/');
    String page = slash < 0 ? path : path.substring(0, slash);
    String rest = slash < 0 ? "" : path.substring(slash + 1);
    boolean post = request.method().equals(HttpMethod.POST);
    Page found = (post ? posts : gets).get(page);
    if (found == null || !post && !request.method().equals(HttpMethod.GET)) {
      reply.accept(Reply.error(404, "no such page"));
    } else if (post && !request.headers().contains(INTENT)) {
      reply.accept(Reply.error(403, "the header " + INTENT + " is expected"));
    } else {
      try {
        found.answer(rest, reply);
      } catch (RuntimeException e) {
        Log.error("admin", page + " failed", e);
        reply.accept(Reply.error(500, "failed; the log says more"));
      }
    }
  }

  private static void write(ChannelHandlerContext ctx, Reply reply, boolean keep) {
    byte[] body;
    try {
      String text = reply.text();
      body = (text == null ? JSON.std.asString(reply.body()) + "\n" : text).getBytes(UTF_8);
    } catch (IOException e) {
      Log.error("admin", "an answer could not be written", e);
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
    HttpUtil.setKeepAlive(response, keep);
    ctx.writeAndFlush(response)
        .addListener(keep ? ChannelFutureListener.CLOSE_ON_FAILURE : ChannelFutureListener.CLOSE);
  }
}
