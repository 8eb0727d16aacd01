package heathswitch.testbed.server;

import static java.util.concurrent.TimeUnit.NANOSECONDS;

import heathswitch.proxy.runtime.Listeners;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

/**
 * A server over HTTP/1.1 on a loopback port, with cores, a queue, a cold start and faults. Its work
 * is waiting on a timer: many of them fit one machine. It lives on one event loop.
 */
public final class StandIn implements AutoCloseable {
  /** Told of each request when it has come whole, on the loop. */
  public interface Observer {
    void arrived(StandIn server, String path, long unixMillis);
  }

  private static final int MOST_BODY_BYTES = 1 << 20;

  private final EventLoop loop;
  private final String name;
  private final Shape shape;
  private final SplittableRandom random;
  private final Faults faults = new Faults();
  private final Observer observer;
  private final ArrayDeque<Exchange> waiting = new ArrayDeque<>();
  private final Set<Channel> open = new HashSet<>();
  private final AtomicLong received = new AtomicLong();
  private final AtomicLong served = new AtomicLong();
  private final AtomicLong turnedAway = new AtomicLong();
  private volatile Consumer<String> runs = path -> {};
  private Channel listener;
  private volatile int working;
  private long startedNanos;

  public StandIn(EventLoop loop, String name, Shape shape, long seed, Observer observer) {
    this.loop = loop;
    this.name = name;
    this.shape = shape;
    this.random = new SplittableRandom(seed);
    this.observer = observer;
  }

  /** Listens on a loopback address; port 0 takes a free one. Not to be called on the loop. */
  public StandIn start(InetSocketAddress address) throws InterruptedException {
    if (!address.getAddress().isLoopbackAddress()) {
      throw new IllegalArgumentException("loopback address expected, not " + address);
    }
    startedNanos = System.nanoTime();
    listener =
        Listeners.bootstrap(loop, this::accepted)
            .option(ChannelOption.SO_BACKLOG, 1024)
            .bind(address)
            .sync()
            .channel();
    return this;
  }

  private void accepted(Channel channel) {
    open.add(channel);
    channel.closeFuture().addListener(closed -> open.remove(channel));
    channel
        .pipeline()
        .addLast(new HttpServerCodec(), new HttpObjectAggregator(MOST_BODY_BYTES), new Handler());
  }

  /** Speaks gRPC too, at a free port, with the same cores and the same queue. */
  public GrpcDuty grpc() throws InterruptedException {
    GrpcDuty duty =
        new GrpcDuty(
            (path, done) -> take(new Exchange(null, true, path, done)),
            observer == null
                ? null
                : name -> observer.arrived(this, name, System.currentTimeMillis()));
    return duty.start(loop, new InetSocketAddress("127.0.0.1", 0));
  }

  /** Tells of each request by its path when work on it begins; of one that is turned away never. */
  public StandIn onRun(Consumer<String> told) {
    runs = told;
    return this;
  }

  /** Whether it could begin to work on one more request just now. */
  public boolean idle() {
    return working < shape.cores();
  }

  public String name() {
    return name;
  }

  public InetSocketAddress address() {
    return (InetSocketAddress) listener.localAddress();
  }

  public Faults faults() {
    return faults;
  }

  public long received() {
    return received.get();
  }

  public long served() {
    return served.get();
  }

  public long turnedAway() {
    return turnedAway.get();
  }

  /** As if its process had just started: cold again. */
  public void chill() {
    loop.execute(() -> startedNanos = System.nanoTime());
  }

  /** Dies as a process does: nothing listens and all connections are reset. */
  @Override
  public void close() {
    if (listener != null) {
      listener.close().syncUninterruptibly();
      loop.submit(
              () -> {
                waiting.clear();
                Set.copyOf(open).forEach(StandIn::reset);
              })
          .syncUninterruptibly();
    }
  }

  private static void reset(Channel channel) {
    if (channel instanceof SocketChannel socket && socket.isOpen()) {
      socket.config().setSoLinger(0);
    }
    channel.close();
  }

  /** One request; of a gRPC call the callback alone, which is told whether it was served. */
  private record Exchange(Channel channel, boolean keepAlive, String path, Consumer<Boolean> call) {
    boolean wanted() {
      return call != null || channel.isActive();
    }
  }

  private final class Handler extends SimpleChannelInboundHandler<FullHttpRequest> {
    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
      received.incrementAndGet();
      if (observer != null) {
        observer.arrived(StandIn.this, request.uri(), System.currentTimeMillis());
      }
      if (faults.silent()) {
        return;
      }
      if (random.nextDouble() < faults.resets()) {
        reset(ctx.channel());
        return;
      }
      Exchange exchange =
          new Exchange(ctx.channel(), HttpUtil.isKeepAlive(request), request.uri(), null);
      take(exchange);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      ctx.close();
    }
  }

  private void take(Exchange exchange) {
    boolean takesNew = !faults.turnsAway();
    if (takesNew && working < shape.cores()) {
      work(exchange);
    } else if (takesNew && waiting.size() < shape.queue()) {
      waiting.add(exchange);
    } else {
      turnedAway.incrementAndGet();
      if (exchange.call() != null) {
        exchange.call().accept(false);
        return;
      }
      FullHttpResponse answer = answer(HttpResponseStatus.SERVICE_UNAVAILABLE, "full");
      answer.headers().set("X-Not-Run", "1");
      write(exchange, answer);
    }
  }

  private void work(Exchange exchange) {
    working++;
    runs.accept(exchange.path());
    long nanos = (long) (shape.time().drawNanos(random) * faults.slowness() / speed());
    loop.schedule(() -> done(exchange), nanos, NANOSECONDS);
  }

  private double speed() {
    if (shape.warmMillis() <= 0) {
      return 1;
    }
    double age = (System.nanoTime() - startedNanos) / 1e6 / shape.warmMillis();
    return shape.coldShare() + (1 - shape.coldShare()) * Math.min(1, age);
  }

  private void done(Exchange exchange) {
    working--;
    if (exchange.call() != null) {
      served.incrementAndGet();
      exchange.call().accept(true);
    } else if (random.nextDouble() < faults.errors()) {
      write(exchange, answer(HttpResponseStatus.INTERNAL_SERVER_ERROR, "error"));
    } else if (random.nextDouble() < faults.spoilt()) {
      ByteBuf noise =
          Unpooled.copiedBuffer("HTTP/1.1 200 OK\r\nno colon\r\n\r\n", StandardCharsets.US_ASCII);
      exchange.channel().pipeline().firstContext().writeAndFlush(noise);
    } else {
      served.incrementAndGet();
      write(exchange, answer(HttpResponseStatus.OK, name + ' ' + exchange.path()));
    }
    // Work that waits for a caller who has gone is dropped.
    Exchange next = waiting.poll();
    while (next != null && !next.wanted()) {
      next = waiting.poll();
    }
    if (next != null) {
      work(next);
    }
  }

  private static FullHttpResponse answer(HttpResponseStatus status, String text) {
    FullHttpResponse answer =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1, status, Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
    HttpUtil.setContentLength(answer, answer.content().readableBytes());
    return answer;
  }

  private static void write(Exchange exchange, FullHttpResponse answer) {
    if (exchange.keepAlive()) {
      exchange.channel().writeAndFlush(answer);
    } else {
      exchange.channel().writeAndFlush(answer).addListener(ChannelFutureListener.CLOSE);
    }
  }
}
