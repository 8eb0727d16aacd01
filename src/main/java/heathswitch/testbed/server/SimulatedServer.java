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
 * Simulated HTTP/1.1 server on a loopback port with a number of cores, a queue, a warm-up and
 * faults. Its work is simulated by a timer, so that many servers fit on one machine. It runs on one
 * event loop.
 */
public final class SimulatedServer implements AutoCloseable {
  /** Receives each request when it has arrived completely, on the event loop. */
  public interface RequestObserver {
    void onRequest(SimulatedServer server, String path, long unixMillis);
  }

  private static final int MAX_BODY_BYTES = 1 << 20;

  private final EventLoop loop;
  private final String name;
  private final ServerProfile profile;
  private final SplittableRandom random;
  private final ServerFaults faults = new ServerFaults();
  private final RequestObserver observer;
  private final ArrayDeque<Exchange> waiting = new ArrayDeque<>();
  private final Set<Channel> openChannels = new HashSet<>();
  private final AtomicLong received = new AtomicLong();
  private final AtomicLong served = new AtomicLong();
  private final AtomicLong refused = new AtomicLong();
  private volatile Consumer<String> workObserver = path -> {};
  private Channel listener;
  private volatile int busyCores;
  private long startedNanos;

  public SimulatedServer(
      EventLoop loop, String name, ServerProfile profile, long seed, RequestObserver observer) {
    this.loop = loop;
    this.name = name;
    this.profile = profile;
    this.random = new SplittableRandom(seed);
    this.observer = observer;
  }

  /**
   * Listens on a loopback address; port 0 selects a free port. Must not be called on the event
   * loop.
   */
  public SimulatedServer start(InetSocketAddress address) throws InterruptedException {
    if (!address.getAddress().isLoopbackAddress()) {
      throw new IllegalArgumentException("loopback address expected, not " + address);
    }
    startedNanos = System.nanoTime();
    listener =
        Listeners.bootstrap(loop, this::initChannel)
            .option(ChannelOption.SO_BACKLOG, 1024)
            .bind(address)
            .sync()
            .channel();
    return this;
  }

  private void initChannel(Channel channel) {
    openChannels.add(channel);
    channel.closeFuture().addListener(closed -> openChannels.remove(channel));
    channel
        .pipeline()
        .addLast(new HttpServerCodec(), new HttpObjectAggregator(MAX_BODY_BYTES), new Handler());
  }

  /** Starts a gRPC endpoint on a free port that shares the cores and the queue. */
  public GrpcEndpoint startGrpc() throws InterruptedException {
    GrpcEndpoint endpoint =
        new GrpcEndpoint(
            (path, done) -> accept(new Exchange(null, true, path, done)),
            observer == null
                ? null
                : name -> observer.onRequest(this, name, System.currentTimeMillis()));
    return endpoint.start(loop, new InetSocketAddress("127.0.0.1", 0));
  }

  /**
   * Sets an observer that receives the path of each request when work on it begins. It is not
   * called for refused requests.
   */
  public SimulatedServer onWorkStarted(Consumer<String> observer) {
    workObserver = observer;
    return this;
  }

  /** Returns whether it could start work on another request immediately. */
  public boolean hasFreeCore() {
    return busyCores < profile.cores();
  }

  public String name() {
    return name;
  }

  public InetSocketAddress address() {
    return (InetSocketAddress) listener.localAddress();
  }

  public ServerFaults faults() {
    return faults;
  }

  public long receivedCount() {
    return received.get();
  }

  public long servedCount() {
    return served.get();
  }

  public long refusedCount() {
    return refused.get();
  }

  /** Restarts the warm-up, as if the process had just been started. */
  public void restartWarmUp() {
    loop.execute(() -> startedNanos = System.nanoTime());
  }

  /** Stops as a killed process does: it no longer listens and all connections are reset. */
  @Override
  public void close() {
    if (listener != null) {
      listener.close().syncUninterruptibly();
      loop.submit(
              () -> {
                waiting.clear();
                Set.copyOf(openChannels).forEach(SimulatedServer::reset);
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

  /**
   * One request. A gRPC call has no channel but a callback that receives whether the call was
   * served.
   */
  private record Exchange(
      Channel channel, boolean keepAlive, String path, Consumer<Boolean> grpcCallback) {
    boolean hasCaller() {
      return grpcCallback != null || channel.isActive();
    }
  }

  /** Receives HTTP requests. */
  private final class Handler extends SimpleChannelInboundHandler<FullHttpRequest> {
    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
      received.incrementAndGet();
      if (observer != null) {
        observer.onRequest(SimulatedServer.this, request.uri(), System.currentTimeMillis());
      }
      if (faults.unresponsive()) {
        return;
      }
      if (random.nextDouble() < faults.resetShare()) {
        reset(ctx.channel());
        return;
      }
      Exchange exchange =
          new Exchange(ctx.channel(), HttpUtil.isKeepAlive(request), request.uri(), null);
      accept(exchange);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      ctx.close();
    }
  }

  private void accept(Exchange exchange) {
    boolean isAccepting = !faults.refusing();
    if (isAccepting && busyCores < profile.cores()) {
      startWork(exchange);
    } else if (isAccepting && waiting.size() < profile.queue()) {
      waiting.add(exchange);
    } else {
      refused.incrementAndGet();
      if (exchange.grpcCallback() != null) {
        exchange.grpcCallback().accept(false);
        return;
      }
      FullHttpResponse response = newResponse(HttpResponseStatus.SERVICE_UNAVAILABLE, "full");
      response.headers().set("X-Not-Run", "1");
      writeResponse(exchange, response);
    }
  }

  private void startWork(Exchange exchange) {
    busyCores++;
    workObserver.accept(exchange.path());
    long nanos =
        (long) (profile.serviceTime().sampleNanos(random) * faults.slowdown() / currentSpeed());
    loop.schedule(() -> finishWork(exchange), nanos, NANOSECONDS);
  }

  private double currentSpeed() {
    if (profile.warmUpMillis() <= 0) {
      return 1;
    }
    double warmUpProgress = (System.nanoTime() - startedNanos) / 1e6 / profile.warmUpMillis();
    return profile.coldSpeed() + (1 - profile.coldSpeed()) * Math.min(1, warmUpProgress);
  }

  private void finishWork(Exchange exchange) {
    busyCores--;
    if (exchange.grpcCallback() != null) {
      served.incrementAndGet();
      exchange.grpcCallback().accept(true);
    } else if (random.nextDouble() < faults.errorShare()) {
      writeResponse(exchange, newResponse(HttpResponseStatus.INTERNAL_SERVER_ERROR, "error"));
    } else if (random.nextDouble() < faults.malformedShare()) {
      ByteBuf malformed =
          Unpooled.copiedBuffer("HTTP/1.1 200 OK\r\nno colon\r\n\r\n", StandardCharsets.US_ASCII);
      exchange.channel().pipeline().firstContext().writeAndFlush(malformed);
    } else {
      served.incrementAndGet();
      writeResponse(exchange, newResponse(HttpResponseStatus.OK, name + ' ' + exchange.path()));
    }
    // Drop queued requests whose caller has disconnected.
    Exchange next = waiting.poll();
    while (next != null && !next.hasCaller()) {
      next = waiting.poll();
    }
    if (next != null) {
      startWork(next);
    }
  }

  private static FullHttpResponse newResponse(HttpResponseStatus status, String text) {
    FullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1, status, Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
    HttpUtil.setContentLength(response, response.content().readableBytes());
    return response;
  }

  private static void writeResponse(Exchange exchange, FullHttpResponse response) {
    if (exchange.keepAlive()) {
      exchange.channel().writeAndFlush(response);
    } else {
      exchange.channel().writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
    }
  }
}
