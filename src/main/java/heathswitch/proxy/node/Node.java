package heathswitch.proxy.node;

import static java.util.concurrent.TimeUnit.SECONDS;

import heathswitch.policy.api.Settings;
import heathswitch.proxy.dispatch.Dispatcher;
import heathswitch.proxy.http1.ClientListener;
import heathswitch.proxy.http1.UpstreamConnectionPool;
import heathswitch.proxy.runtime.Clock;
import heathswitch.proxy.runtime.Log;
import heathswitch.proxy.runtime.LoopLagMonitor;
import heathswitch.proxy.runtime.ResourceBudget;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;

/** One running balancer, assembled from its parts on one event loop. */
public final class Node {
  private static final long FIGURES_SECONDS = 10;

  private final NioEventLoopGroup group = new NioEventLoopGroup(1);
  private final EventLoop loop = group.next();
  private final Clock clock = new Clock();
  private final NodeSettings settings;
  private final ResourceBudget budget;
  private final ClientListener clientListener;
  private final UpstreamConnectionPool pool;
  private final Dispatcher dispatcher;
  private final MemberSource members;
  private final Shutdown shutdown;
  private final OperatorDrain operatorDrain;
  private final LoopLagMonitor lagMonitor;
  private final List<ProtocolListener> extraListeners = new ArrayList<>();

  /** Assembles the parts; {@link #start} must follow. */
  public Node(NodeSettings settings, MemberSource.Factory source, long lagSampleNanos) {
    this.settings = settings;
    budget = new ResourceBudget(settings.maxDescriptors(), ResourceBudget.BODY_BYTES);
    clientListener = new ClientListener(loop, clock, budget);
    pool =
        new UpstreamConnectionPool(
            loop, clock, budget, settings.policySettings().limits(), clientListener::evictIdle);
    dispatcher = new Dispatcher(loop, clock, settings.policySettings(), settings.seed());
    dispatcher.addTransport(pool);
    members = source.create(loop);
    shutdown =
        new Shutdown(
            loop, settings.policySettings(), clientListener, dispatcher, members, extraListeners);
    operatorDrain = new OperatorDrain(loop, clientListener);
    lagMonitor = new LoopLagMonitor(lagSampleNanos);
  }

  /** Adds a listener for another protocol. To be called before the start. */
  public ProtocolListener addListener(ProtocolListener.Factory factory) {
    ProtocolListener listener =
        factory.create(
            new ProtocolListener.Context(loop, clock, budget, dispatcher, pool, this::evictIdle));
    extraListeners.add(listener);
    return listener;
  }

  /** Forbids HTTP/1.1 clients to send a header. To be called before the start. */
  public void forbidHeader(String header) {
    clientListener.forbidHeader(header);
  }

  private boolean evictIdle() {
    return pool.evictIdle() || clientListener.evictIdle();
  }

  /** Returns once clients can connect; fails if the address is in use. */
  public void start() throws InterruptedException {
    loop.submit(() -> members.start(dispatcher)).sync();
    members.awaitList();
    clientListener.start(settings.listen(), settings.reusePort(), dispatcher, pool);
    for (ProtocolListener listener : extraListeners) {
      listener.start();
    }
    lagMonitor.start(loop);
    loop.scheduleAtFixedRate(this::logFigures, FIGURES_SECONDS, FIGURES_SECONDS, SECONDS);
  }

  /** Replaces the settings for new requests and connections; to be called on the event loop. */
  public void reload(Settings newSettings) {
    dispatcher.reload(newSettings);
    pool.reload(newSettings.limits());
    shutdown.reload(newSettings);
  }

  /** The listen address, or null if the process was told to stop before it listened. */
  public InetSocketAddress address() {
    return clientListener.address();
  }

  /** Whether new connections can still be accepted. */
  public boolean isListening() {
    return clientListener.isListening();
  }

  public EventLoop loop() {
    return loop;
  }

  /** Unix time of the node's own clock, which is not affected when the system clock is set. */
  public long nowMillis() {
    return clock.nowNanos() / 1_000_000;
  }

  /** To be used on the event loop. */
  public LoopLagMonitor lagMonitor() {
    return lagMonitor;
  }

  /** To be used on the event loop. */
  public Dispatcher dispatcher() {
    return dispatcher;
  }

  public Shutdown shutdown() {
    return shutdown;
  }

  public OperatorDrain operatorDrain() {
    return operatorDrain;
  }

  /** The limits on descriptors and body bytes; to be used on the event loop. */
  public ResourceBudget budget() {
    return budget;
  }

  /** Stops at once, without a drain. */
  public void stop() {
    group.shutdownGracefully(0, 5, SECONDS).awaitUninterruptibly();
  }

  private void logFigures() {
    Runtime runtime = Runtime.getRuntime();
    Log.info(
        "figures",
        dispatcher.counters.formatAndReset()
            + "; live "
            + dispatcher.liveRequestCount()
            + ", clients "
            + clientListener.clientCount()
            + ", idle upstream connections "
            + pool.idleConnectionCount()
            + ", connections "
            + budget.connections()
            + ", loop late by up to "
            + lagMonitor.takeMaxLagForFigures() / 1_000_000
            + " ms, heap "
            + (runtime.totalMemory() - runtime.freeMemory() >> 20)
            + " MB; "
            + dispatcher.figures()
            + "; "
            + members.figures());
  }
}
