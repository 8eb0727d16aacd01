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
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import maplehall.dispatch.Dispatcher;
import maplehall.dispatch.Member;
import maplehall.node.MemberSource;
import maplehall.runtime.Channels;
import maplehall.runtime.Log;
import meadowtrack.api.ListForm;
import meadowtrack.api.Settings;

/**
 * Asks discovery for the list and for its changes, when the module wants it. Where lists are pushed
 * nobody asks, so the watch is kept up here.
 */
final class DiscoveryClient implements MemberSource, Dispatcher.Discovery {
  /** A process that follows another is to serve within 6 s; most of them are kept in hand. */
  private static final long FIRST_NEWS_MILLIS = 2500;

  private static final int CONNECT_MILLIS = 1000;
  private static final int MOST_LINE_BYTES = 4 << 20;

  private final EventLoop loop;
  private InetSocketAddress address;
  private ListClock clock;
  private final boolean keepWatch;
  private final Map<String, Object> known;
  private final Bootstrap bootstrap;
  private Dispatcher dispatcher;
  private long revision = -1;

  /** The watch that has spoken; it is heard until a newer one has. */
  private Call watch;

  /** The call for a watch that has not spoken yet: one at a time. */
  private Call pending;

  private Call fetch;
  private boolean stopped;

  /** Opened with the first news, for a process that follows another. */
  private final CountDownLatch firstNews = new CountDownLatch(1);

  private boolean atOnce;
  private final CallLog calls = new CallLog();

  /**
   * Asks at an address.
   *
   * @param clock when a call is given up; of pushed lists it keeps the watch up by itself
   * @param known the list as this balancer last had it, in discovery's form
   */
  public DiscoveryClient(
      EventLoop loop, InetSocketAddress address, ListClock clock, Map<String, Object> known) {
    this.loop = loop;
    this.address = address;
    this.clock = clock;
    this.keepWatch = clock.pushed();
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
      DiscoveryList list = DiscoveryList.parse(known);
      entries = list.entries();
      revision = list.revision();
    } catch (IllegalArgumentException e) {
      Log.warn("known list", "left out: " + e.getMessage());
    }
    dispatcher.start(this, entries);
    if (!keepWatch) {
      dispatcher.limitListAge(MILLISECONDS.toNanos(ListClock.TOLD_MILLIS));
    }
    if (keepWatch || atOnce) {
      watch(true);
    }
  }

  @Override
  public void stop() {
    stopped = true;
    close(watch, "the balancer ends");
    close(fetch, "the balancer ends");
    close(pending, "the balancer ends");
  }

  @Override
  public String figures() {
    return calls.figures(System.nanoTime());
  }

  /** Other settings; whether lists are pushed or asked for stays as it was at the start. */
  void reload(Settings settings) {
    clock = new ListClock(clock.pushed(), ListClock.of(settings).graceMillis());
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
    close(pending, "another address");
    pending = null;
    if (keepWatch) {
      watch(true);
    } else {
      dispatcher.onDiscoveryMoved();
    }
  }

  /** A call has brought its first line. */
  private void spoke(Call call) {
    if (call == pending) {
      pending = null;
      close(watch, "a newer one has spoken");
      watch = call;
    }
  }

  @Override
  public void watch(boolean enable) {
    if (!enable) {
      close(watch, "not wanted");
      watch = null;
      close(pending, "not wanted");
      pending = null;
      return;
    }
    if (pending != null && pending.uses(address)) {
      return; // It keeps its turn.
    }
    if (watch != null && watch.uses(address)) {
      news(watch, DiscoveryList.unchanged(revision));
      return;
    }
    String index = revision >= 0 ? "&index=" + revision : "";
    pending = new Call("/discovery/hosts?stream=1" + index, true, keepWatch ? "kept up" : "asked");
    pending.open();
  }

  @Override
  public void fetch() {
    close(fetch, "another call is made");
    fetch = new Call("/discovery/hosts", false, "asked");
    fetch.open();
  }

  /** Gives a call up that may still be out. */
  private void close(Call call, String why) {
    if (call != null && !call.closed) {
      call.close();
      calls.givenUp(call.entry, why);
    }
  }

  /**
   * A call has ended.
   *
   * @param how what its end shows of discovery
   */
  private void broken(Call call, String why, ListForm how) {
    if (stopped || (call != watch && call != pending && call != fetch)) {
      return;
    }
    if (call == fetch) {
      fetch = null;
    } else if (call == watch) {
      watch = null;
      Log.warn("discovery", "watch broken: " + why);
      if (pending != null) {
        return; // Its end is told instead.
      }
    } else {
      pending = null;
    }
    if (call.stream && keepWatch) {
      loop.schedule(() -> watchAgain(), clock.againMillis(), MILLISECONDS);
    } else {
      dispatcher.onDiscoveryFailed(how);
    }
  }

  private void watchAgain() {
    if (!stopped) {
      boolean spoken = watch != null && watch.uses(address);
      if (!spoken) {
        watch(true);
      }
    }
  }

  private void news(Call call, DiscoveryList list) {
    if (call.uses(address)) {
      revision = list.revision();
    }
    dispatcher.onServers(list.whole() ? ListForm.WHOLE : ListForm.CHANGES, list.entries());
    confirmed(call);
    firstNews.countDown();
  }

  /** What an address that is no longer asked says does not confirm the list. */
  private void confirmed(Call call) {
    if (call.uses(address)) {
      dispatcher.onListConfirmed();
    }
  }

  // ---- one call ----

  private final class Call extends ChannelInboundHandlerAdapter {
    private final String uri;
    private final boolean stream;
    private final InetSocketAddress to = address;
    private final CallLog.Entry entry;
    private final ListFramer framer = new ListFramer(MOST_LINE_BYTES);
    private Channel channel;
    private Future<?> silence;
    private boolean begun;
    private boolean told;
    private boolean closed;

    /** The newest revision that this call has brought: an older one may not undo what it told. */
    private long spokenRevision;

    /** One that is to be opened; the cause is for the log. */
    Call(String uri, boolean stream, String cause) {
      this.uri = uri;
      this.stream = stream;
      this.entry = calls.planned(cause, to, revision);
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

    /** Only whole lines count: half a line, however it drips, tells nothing. */
    private void heard() {
      if (silence != null) {
        silence.cancel(false);
      }
      long millis = told ? clock.lineMillis() : clock.firstLineMillis();
      silence = loop.schedule(() -> fail("silent for " + millis + " ms"), millis, MILLISECONDS);
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
      try {
        if (!closed) {
          read((HttpObject) message);
        }
      } catch (IOException | RuntimeException e) {
        fail("unreadable: " + DiscoveryList.clip(String.valueOf(e.getMessage())));
      } finally {
        ReferenceCountUtil.release(message);
      }
    }

    private void read(HttpObject part) throws IOException {
      if (part.decoderResult().isFailure()) {
        fail("malformed: " + part.decoderResult().cause().getMessage());
        return;
      }
      if (part instanceof HttpResponse response && response.status().code() != 200) {
        if (response.status().code() >= 200) {
          end("status " + response.status().code(), ListForm.TURNED_AWAY);
        }
        return;
      }
      begun |= part instanceof HttpResponse;
      if (part instanceof HttpContent content) {
        take(content.content());
        if (part instanceof LastHttpContent && !closed) {
          ended();
        }
      }
    }

    private void take(ByteBuf bytes) throws IOException {
      while (bytes.isReadable() && !closed) {
        boolean complete = framer.add(bytes.readByte());
        if (complete && stream) {
          line(framer.take());
        }
      }
    }

    private void line(String text) throws IOException {
      boolean first = !told;
      told = true;
      heard();
      calls.heard(entry);
      if (text.isEmpty() && !first) {
        confirmed(this);
        return;
      }
      // Empty at first: nothing has changed, but the module waits to hear that its call went
      // through.
      DiscoveryList list =
          text.isEmpty()
              ? DiscoveryList.unchanged(revision)
              : DiscoveryList.parse(JSON.std.mapFrom(text));
      if (!first && list.revision() < spokenRevision) {
        Log.warn("discovery", "left out: revision " + list.revision() + " after " + spokenRevision);
        return;
      }
      spokenRevision = list.revision();
      if (first) {
        calls.answered(entry, list);
      }
      spoke(this);
      news(this, list);
    }

    private void ended() throws IOException {
      if (!stream) {
        DiscoveryList list = DiscoveryList.parse(JSON.std.mapFrom(framer.take()));
        close();
        fetch = null;
        calls.answered(entry, list);
        news(this, list);
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
      end(why, begun ? ListForm.CUT_SHORT : ListForm.BROKEN);
    }

    private void end(String why, ListForm how) {
      if (!closed) {
        close();
        calls.failed(entry, why, told);
        broken(this, why, how);
      }
    }

    void close() {
      closed = true;
      if (silence != null) {
        silence.cancel(false);
      }
      Channels.close(channel);
    }
  }
}
