package heathswitch.proxy.grpc;

import static java.util.concurrent.TimeUnit.MILLISECONDS;

import heathswitch.policy.api.Settings;
import heathswitch.proxy.dispatch.Dispatcher;
import heathswitch.proxy.http2.MultiplexedConnection;
import heathswitch.proxy.node.ProtocolListener;
import heathswitch.proxy.runtime.Clock;
import heathswitch.proxy.runtime.Listeners;
import heathswitch.proxy.runtime.ResourceBudget;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * The listener for gRPC clients. Limits their connections and the messages that are buffered for
 * them, and closes connections gracefully.
 */
public final class GrpcServer implements ProtocolListener {
  private static final long CHECK_INTERVAL_MILLIS = 1000;

  private final EventLoop loop;
  private final Clock clock;
  private final ResourceBudget budget;
  private final GrpcConfig config;
  private final Dispatcher dispatcher;
  private final BufferBudget bufferBudget;
  private final GrpcConnectionPool pool;
  private final SplittableRandom random;
  private final BufferingTimer bufferingTimer;
  private final Set<GrpcClientConnection> connections = new HashSet<>();
  private Channel listener;
  private boolean draining;
  private String forbiddenHeader;
  private long nextRequestNumber;

  /**
   * Creates the server and registers its upstream transport with the dispatcher. Must be called
   * before the node of the event loop is started.
   */
  public GrpcServer(
      ProtocolListener.Context context, GrpcConfig config, Settings settings, long seed) {
    this.loop = context.loop();
    this.clock = context.clock();
    this.budget = context.budget();
    this.dispatcher = context.dispatcher();
    this.config = config;
    bufferBudget = new BufferBudget(config.maxTotalBufferedBytes());
    bufferingTimer = new BufferingTimer(loop, clock, config.bufferingNanos());
    pool = new GrpcConnectionPool(this, loop, budget, settings.limits(), context.evictIdle());
    dispatcher.addTransport(pool);
    random = new SplittableRandom(seed);
  }

  @Override
  public void start() throws InterruptedException {
    listener =
        Listeners.bootstrap(loop, this::onAccepted)
            .option(ChannelOption.SO_BACKLOG, 1024)
            .bind(config.listen())
            .sync()
            .channel();
    loop.scheduleAtFixedRate(
        this::checkTimeouts, CHECK_INTERVAL_MILLIS, CHECK_INTERVAL_MILLIS, MILLISECONDS);
  }

  /** The address that the server listens on. Only valid after the start. */
  public InetSocketAddress address() {
    return (InetSocketAddress) listener.localAddress();
  }

  private void onAccepted(Channel channel) {
    budget.connectionOpened();
    channel.closeFuture().addListener(closed -> budget.connectionClosed());
    if (connections.size() >= config.maxConnections() || budget.availableConnections() <= 0) {
      channel.close();
      return;
    }
    GrpcClientConnection connection =
        MultiplexedConnection.build(
            true,
            config.maxStreamsPerConnection(),
            GrpcHeaders.MAX_HEADER_BYTES,
            GrpcHeaders.NEVER_INDEXED,
            (decoder, encoder, settings) ->
                new GrpcClientConnection(decoder, encoder, settings, this));
    connections.add(connection);
    channel.closeFuture().addListener(closed -> connections.remove(connection));
    long nowNanos = clock.nowNanos();
    connection.onAccepted(
        nowNanos,
        nowNanos
            + (long) (config.maxConnectionAgeMillis() * 1e6 * (0.9 + 0.2 * random.nextDouble())));
    channel.pipeline().addLast(connection);
    if (draining) {
      connection.closeGracefully();
    }
  }

  private void checkTimeouts() {
    long nowNanos = clock.nowNanos();
    List.copyOf(connections).forEach(connection -> connection.checkTimeouts(nowNanos));
  }

  /** Sets a header that clients must not send. Must be called before the start. */
  public void setForbiddenHeader(String header) {
    forbiddenHeader = header;
  }

  String forbiddenHeader() {
    return forbiddenHeader;
  }

  Clock clock() {
    return clock;
  }

  Dispatcher dispatcher() {
    return dispatcher;
  }

  BufferingTimer bufferingTimer() {
    return bufferingTimer;
  }

  GrpcConfig config() {
    return config;
  }

  GrpcConnectionPool pool() {
    return pool;
  }

  BufferBudget bufferBudget() {
    return bufferBudget;
  }

  boolean draining() {
    return draining;
  }

  /**
   * Returns a new request id. gRPC calls carry no id of their own, and the id of an open request
   * must be unique.
   */
  String nextRequestId() {
    return "grpc " + nextRequestNumber++;
  }

  @Override
  public void startDraining() {
    draining = true;
    List.copyOf(connections).forEach(GrpcClientConnection::closeGracefully);
  }

  @Override
  public void stopListening() {
    Listeners.closeGracefully(listener, () -> budget.availableConnections() > 0);
  }

  @Override
  public boolean isListening() {
    return listener.isOpen();
  }

  @Override
  public int clientCount() {
    return connections.size();
  }

  @Override
  public void closeIdle() {
    List.copyOf(connections).forEach(GrpcClientConnection::closeIfIdle);
  }
}
