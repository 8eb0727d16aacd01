package maplehall.platform;

import static java.util.concurrent.TimeUnit.MILLISECONDS;

import com.fasterxml.jackson.jr.ob.JSON;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import maplehall.dispatch.Dispatcher;
import maplehall.dispatch.Member;
import maplehall.node.MemberSource;
import maplehall.runtime.Addresses;
import maplehall.runtime.Log;
import meadowtrack.api.Health;
import meadowtrack.api.ListForm;

/**
 * Asks discovery for the list and for its changes, when the module wants it. Where lists are pushed
 * nobody asks, so the watch is kept up here.
 */
final class DiscoveryClient implements MemberSource, Dispatcher.Discovery {
  /** A list, whole or changes only. */
  record News(long revision, boolean whole, List<Member> entries) {}

  /**
   * An empty line comes every 2 s. A watch that misses one by so much is cut off, and what it does
   * not deliver counts as told all the same after 6 s; the next watch needs its time out of those.
   */
  private static final long SILENCE_MILLIS = 3200;

  /** Before its first line a call waits in turn behind those of all other balancers. */
  private static final long FIRST_SILENCE_MILLIS = 4500;

  /** After a move the new address is tried again this soon, twice as long after each failure. */
  private static final long MOVE_AGAIN_MILLIS = 200;

  private static final int MOST_MOVE_DOUBLINGS = 3;

  /** A process that follows another is to serve within 6 s; most of them are kept in hand. */
  private static final long FIRST_NEWS_MILLIS = 2500;

  private static final int CONNECT_MILLIS = 1000;
  private static final long KEPT_WATCH_AGAIN_MILLIS = 500;
  private static final int MOST_LINE_BYTES = 4 << 20;

  /** Later starts would overflow the module's nanoseconds. */
  private static final long MOST_STARTED_MILLIS = 9_000_000_000_000L;

  private final EventLoop loop;
  private InetSocketAddress address;
  private final boolean keepWatch;
  private final Map<String, Object> known;
  private final Bootstrap bootstrap;
  private Dispatcher dispatcher;
  private long revision = -1;
  private Call watch;
  private Call fetch;

  /** The first watch at a new address, until its first line has come; then it is the watch. */
  private Call move;

  private int failedMoves;
  private boolean stopped;

  /** Opened with the first news, for a process that follows another. */
  private final CountDownLatch firstNews = new CountDownLatch(1);

  private boolean atOnce;

  public DiscoveryClient(
      EventLoop loop, InetSocketAddress address, boolean keepWatch, Map<String, Object> known) {
    this.loop = loop;
    this.address = address;
    this.keepWatch = keepWatch;
    this.known = known;
    this.bootstrap =
        new Bootstrap()
            .group(loop)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MILLIS);
  }

  /**
   * Asks at the start and not when the module's turn comes, and has clients wait for the answer.
   * Guards against a process that takes over from another, which was told more than the list that
   * it is given at its start. Where all balancers start at once it would be a herd.
   */
  void askAtOnce() {
    atOnce = true;
  }

  @Override
  public void awaitList() throws InterruptedException {
    if (atOnce && !firstNews.await(FIRST_NEWS_MILLIS, MILLISECONDS)) {
      Log.warn("discovery", "no news yet; serving by the known list");
    }
  }

  /** Starts from the list that this balancer last had. */
  @Override
  public void start(Dispatcher dispatcher) {
    this.dispatcher = dispatcher;
    List<Member> entries = List.of();
    try {
      News news = parse(known);
      entries = news.entries();
      revision = news.revision();
    } catch (IllegalArgumentException e) {
      Log.warn("known list", "left out: " + e.getMessage());
    }
    dispatcher.start(this, entries);
    if (keepWatch || atOnce) {
      watch(true);
    }
  }

  @Override
  public void stop() {
    stopped = true;
    close(watch);
    close(fetch);
    close(move);
  }

  /**
   * From now on asks at another address. The old watch is heard until the new one has spoken, so
   * that no news falls between the two. The versions of one discovery need not be those of another:
   * the new one is asked for the whole list, as a version that it has not reached yet would have it
   * stay silent.
   */
  public void moveTo(InetSocketAddress to) {
    if (stopped || to.equals(address)) {
      return;
    }
    address = to;
    revision = -1;
    failedMoves = 0;
    openMove();
  }

  private void openMove() {
    if (stopped) {
      return;
    }
    close(move);
    move = new Call("/discovery/hosts?stream=1", true);
    move.open();
  }

  /** A call has brought its first line. */
  private void spoke(Call call) {
    if (call == move) {
      move = null;
      close(watch);
      watch = call;
    }
  }

  @Override
  public void watch(boolean enable) {
    if (enable && move != null) {
      return; // A call to the newest address is out already; it keeps its turn.
    }
    if (enable && watch != null && watch.told && watch.uses(address)) {
      news(watch, new News(revision, false, List.of()));
      return;
    }
    close(watch);
    watch = null;
    close(move);
    move = null;
    if (enable) {
      String index = revision >= 0 ? "&index=" + revision : "";
      watch = new Call("/discovery/hosts?stream=1" + index, true);
      watch.open();
    }
  }

  @Override
  public void fetch() {
    close(fetch);
    fetch = new Call("/discovery/hosts", false);
    fetch.open();
  }

  private static void close(Call call) {
    if (call != null) {
      call.close();
    }
  }

  private void broken(Call call, String why) {
    if (stopped) {
      return;
    }
    if (call == move) {
      move = null;
      Log.warn("discovery", "not yet at its new address: " + why);
      long delay = MOVE_AGAIN_MILLIS << Math.min(failedMoves++, MOST_MOVE_DOUBLINGS);
      loop.schedule(() -> moveAgain(), delay, MILLISECONDS);
      return;
    }
    if (call == watch && move != null) {
      watch = null; // The old address ends its watches; the new one is already being asked.
      return;
    }
    if (call != watch && call != fetch) {
      return;
    }
    Log.warn("discovery", (call == watch ? "watch" : "list") + " broken: " + why);
    if (call == fetch) {
      fetch = null;
    } else {
      watch = null;
      if (keepWatch) {
        loop.schedule(() -> watchAgain(), KEPT_WATCH_AGAIN_MILLIS, MILLISECONDS);
        return; // Nobody asked, so nobody is told.
      }
    }
    dispatcher.onDiscoveryBroken();
  }

  private void watchAgain() {
    if (!stopped && watch == null) {
      watch(true);
    }
  }

  /** Unless the module has opened a watch of its own meanwhile, at the same new address. */
  private void moveAgain() {
    if (move == null && (watch == null || !watch.uses(address))) {
      openMove();
    }
  }

  private void news(Call call, News news) {
    if (call.uses(address)) {
      revision = news.revision();
    }
    dispatcher.onServers(news.whole() ? ListForm.WHOLE : ListForm.CHANGES, news.entries());
    firstNews.countDown();
  }

  // ---- the form of a list ----

  /** An entry that cannot be read is skipped; a list that is none is an error. */
  public static News parse(Map<String, Object> json) {
    if (!(json.get("revision") instanceof Number revision)
        || !(json.get("members") instanceof List<?> members)) {
      throw new IllegalArgumentException("an object with revision and members expected");
    }
    List<Member> entries = new ArrayList<>();
    for (Object member : members) {
      Member entry = member instanceof Map<?, ?> map ? entry(map) : null;
      if (entry == null) {
        Log.warn("discovery entry", "skipped: " + clip(String.valueOf(member)));
      } else {
        entries.add(entry);
      }
    }
    return new News(revision.longValue(), !Boolean.FALSE.equals(json.get("complete")), entries);
  }

  private static Member entry(Map<?, ?> map) {
    Health health = health(map.get("phase"));
    InetSocketAddress address =
        map.get("host_port") instanceof String text ? Addresses.parse(text) : null;
    if (!(map.get("id") instanceof String id)
        || health == null
        || (address == null && health == Health.READY)) {
      return null;
    }
    return new Member(
        id,
        address,
        null,
        health,
        map.get("locality") instanceof String zone ? zone : "",
        map.get("flavor") instanceof String kind ? kind : "",
        map.get("cell") instanceof Number cell ? cell.longValue() : 0,
        map.get("size") instanceof Number size ? size.doubleValue() : 1,
        map.get("up_since_ms") instanceof Number since
            ? Math.max(0, Math.min(since.longValue(), MOST_STARTED_MILLIS))
            : 0);
  }

  private static Health health(Object phase) {
    return switch (String.valueOf(phase)) {
      case "in_service" -> Health.READY;
      case "terminating" -> Health.DRAINING;
      case "terminated" -> Health.GONE;
      default -> null;
    };
  }

  private static String clip(String text) {
    return text.length() <= 200 ? text : text.substring(0, 200) + "...";
  }

  // ---- one call ----

  private final class Call extends ChannelInboundHandlerAdapter {
    private final String uri;
    private final boolean stream;
    private final InetSocketAddress to = address;
    private final ByteArrayOutputStream line = new ByteArrayOutputStream();
    private Channel channel;
    private Future<?> silence;
    private boolean told;
    private boolean closed;

    Call(String uri, boolean stream) {
      this.uri = uri;
      this.stream = stream;
    }

    void open() {
      Call call = this;
      ChannelFuture connecting =
          bootstrap
              .clone()
              .handler(
                  new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                      channel.pipeline().addLast(new HttpClientCodec(4096, 16384, 65536), call);
                    }
                  })
              .connect(to);
      channel = connecting.channel();
      heard();
      // Always later: a connect that fails at once must not be told inside the module's call.
      connecting.addListener(done -> loop.execute(() -> connected(connecting)));
    }

    private void connected(ChannelFuture connecting) {
      if (!connecting.isSuccess()) {
        fail("cannot connect: " + connecting.cause().getMessage());
        return;
      }
      FullHttpRequest request =
          new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, uri);
      request.headers().set(HttpHeaderNames.HOST, to.getHostString() + ":" + to.getPort());
      if (!stream) {
        request.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
      }
      channel.writeAndFlush(request);
    }

    boolean uses(InetSocketAddress address) {
      return to.equals(address);
    }

    private void heard() {
      if (silence != null) {
        silence.cancel(false);
      }
      long millis = told ? SILENCE_MILLIS : FIRST_SILENCE_MILLIS;
      silence = loop.schedule(() -> fail("silent for " + millis + " ms"), millis, MILLISECONDS);
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
      try {
        if (!closed) {
          read((HttpObject) message);
        }
      } catch (IOException | RuntimeException e) {
        fail("unreadable: " + clip(String.valueOf(e.getMessage())));
      } finally {
        ReferenceCountUtil.release(message);
      }
    }

    private void read(HttpObject part) throws IOException {
      heard();
      if (part.decoderResult().isFailure()) {
        fail("malformed: " + part.decoderResult().cause().getMessage());
        return;
      }
      if (part instanceof HttpResponse response && response.status().code() != 200) {
        if (response.status().code() >= 200) {
          fail("status " + response.status().code());
        }
        return;
      }
      if (part instanceof HttpContent content) {
        take(content.content());
        if (part instanceof LastHttpContent && !closed) {
          ended();
        }
      }
    }

    private void take(ByteBuf bytes) throws IOException {
      while (bytes.isReadable() && !closed) {
        int end = stream ? bytes.bytesBefore((byte) '\n') : -1;
        int length = end < 0 ? bytes.readableBytes() : end;
        if (line.size() + length > MOST_LINE_BYTES) {
          fail("a line of over " + MOST_LINE_BYTES + " bytes");
          return;
        }
        bytes.readBytes(line, length);
        if (end >= 0) {
          bytes.skipBytes(1);
          line();
        }
      }
    }

    private void line() throws IOException {
      String text = line.toString(StandardCharsets.UTF_8).strip();
      line.reset();
      if (!text.isEmpty()) {
        News news = parse(JSON.std.mapFrom(text));
        told = true;
        spoke(this);
        news(this, news);
      } else if (!told) {
        // Nothing has changed since, but the module waits to hear that its call went through.
        told = true;
        spoke(this);
        news(this, new News(revision, false, List.of()));
      }
    }

    private void ended() throws IOException {
      if (!stream) {
        News news = parse(JSON.std.mapFrom(line.toString(StandardCharsets.UTF_8)));
        close();
        fetch = null;
        news(this, news);
      } else {
        fail("ended");
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      fail("connection closed");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      fail(String.valueOf(cause.getMessage()));
    }

    private void fail(String why) {
      if (!closed) {
        close();
        broken(this, why);
      }
    }

    void close() {
      closed = true;
      if (silence != null) {
        silence.cancel(false);
      }
      channel.close();
    }
  }
}
