package maplehall;

import static java.util.concurrent.TimeUnit.MILLISECONDS;
import static java.util.concurrent.TimeUnit.SECONDS;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import java.net.InetSocketAddress;
import java.util.Map;

/** One running balancer: its parts, put together on one event loop. */
final class Node {
  private static final long FIGURES_SECONDS = 10;

  private final NioEventLoopGroup group = new NioEventLoopGroup(1);
  private final EventLoop loop = group.next();
  private final Clock clock = new Clock();
  private final Budget budget;
  private final ClientServer server;
  private final UpstreamPool pool;
  private final Dispatcher dispatcher;
  private final DiscoveryClient discovery;
  private final Shutdown shutdown;
  private final Reload reload;
  private long expectedTickNanos;
  private long latestTickNanos;

  Node(NodeConfig config, Map<String, String> environment) {
    budget = new Budget(config.sockets(), Budget.BODY_BYTES);
    server = new ClientServer(loop, clock, budget);
    pool = new UpstreamPool(loop, clock, budget, config.settings().limits(), server::evictIdle);
    dispatcher = new Dispatcher(loop, clock, config.settings(), config.seed(), pool);
    discovery = new DiscoveryClient(loop, config.discovery(), !config.settings().mustAsk());
    shutdown = new Shutdown(loop, config.settings(), server, dispatcher, discovery);
    reload = new Reload(loop, environment, discovery);
  }

  /** Returns once clients can connect; fails if the address is taken. */
  void start(NodeConfig config) throws InterruptedException {
    loop.submit(() -> discovery.start(dispatcher, config.known())).sync();
    server.start(config.listen(), dispatcher, pool);
    loop.scheduleAtFixedRate(this::watchLoop, 100, 100, MILLISECONDS);
    loop.scheduleAtFixedRate(this::logFigures, FIGURES_SECONDS, FIGURES_SECONDS, SECONDS);
  }

  InetSocketAddress address() {
    return server.address();
  }

  Reload reload() {
    return reload;
  }

  Shutdown shutdown() {
    return shutdown;
  }

  /** Ends at once, without a drain. */
  void stop() {
    group.shutdownGracefully(0, 5, SECONDS).awaitUninterruptibly();
  }

  private void watchLoop() {
    long now = System.nanoTime();
    if (expectedTickNanos != 0) {
      latestTickNanos = Math.max(latestTickNanos, now - expectedTickNanos);
    }
    expectedTickNanos = now + 100_000_000L;
  }

  private void logFigures() {
    Runtime runtime = Runtime.getRuntime();
    Log.info(
        "figures",
        dispatcher.counters.take()
            + "; live "
            + dispatcher.live()
            + ", clients "
            + server.clients()
            + ", idle upstream connections "
            + pool.idleConnections()
            + ", connections "
            + budget.connections()
            + ", loop late by up to "
            + latestTickNanos / 1_000_000
            + " ms, heap "
            + (runtime.totalMemory() - runtime.freeMemory() >> 20)
            + " MB; "
            + dispatcher.figures());
    latestTickNanos = 0;
  }
}
