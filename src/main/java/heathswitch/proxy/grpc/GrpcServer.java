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

/** Listens for gRPC clients, bounds what they may do, and ends their connections in good order. */
public final class GrpcServer implements ProtocolListener {
  private static final long TICK_MILLIS = 1000;

  private final EventLoop loop;
  private final Clock clock;
  private final ResourceBudget budget;
  private final GrpcConfig config;
  private final Dispatcher dispatcher;
  private final BufferBudget held;
  private final GrpcConnectionPool pool;
  private final SplittableRandom random;
  private final BufferingTimer patience;
  private final Set<ClientConnection> links = new HashSet<>();
  private Channel listener;
  private boolean draining;
  private String forbidden;
  private long number;

  /** Makes the front and its transport; to be called on the loop's node before its start. */
  public GrpcServer(
      ProtocolListener.Context parts, GrpcConfig config, Settings settings, long seed) {
    this.loop = parts.loop();
    this.clock = parts.clock();
    this.budget = parts.budget();
    this.dispatcher = parts.dispatcher();
    this.config = config;
    held = new BufferBudget(config.maxTotalBufferedBytes());
    patience = new BufferingTimer(loop, clock, config.bufferingNanos());
    pool = new GrpcConnectionPool(this, loop, budget, settings.limits(), parts.evictIdle());
    dispatcher.addTransport(pool);
    random = new SplittableRandom(seed);
  }

  @Override
  public void start() throws InterruptedException {
    listener =
        Listeners.bootstrap(loop, this::accepted)
            .option(ChannelOption.SO_BACKLOG, 1024)
            .bind(config.listen())
            .sync()
            .channel();
    loop.scheduleAtFixedRate(this::tick, TICK_MILLIS, TICK_MILLIS, MILLISECONDS);
  }

  /** Where it listens; after the start. */
  public InetSocketAddress address() {
    return (InetSocketAddress) listener.localAddress();
  }

  private void accepted(Channel channel) {
    budget.connectionOpened();
    channel.closeFuture().addListener(closed -> budget.connectionClosed());
    if (links.size() >= config.maxConnections() || budget.availableConnections() <= 0) {
      channel.close();
      return;
    }
    ClientConnection link =
        MultiplexedConnection.build(
            true,
            config.maxStreamsPerConnection(),
            GrpcHeaders.MOST_BYTES,
            GrpcHeaders.CHANGING,
            (decoder, encoder, settings) -> new ClientConnection(decoder, encoder, settings, this));
    links.add(link);
    channel.closeFuture().addListener(closed -> links.remove(link));
    long now = clock.nowNanos();
    link.accepted(
        now,
        now + (long) (config.maxConnectionAgeMillis() * 1e6 * (0.9 + 0.2 * random.nextDouble())));
    channel.pipeline().addLast(link);
    if (draining) {
      link.closeGracefully();
    }
  }

  private void tick() {
    long now = clock.nowNanos();
    List.copyOf(links).forEach(link -> link.tick(now));
  }

  /** A header that no client may send; before the start. */
  public void setForbiddenHeader(String header) {
    forbidden = header;
  }

  String forbidden() {
    return forbidden;
  }

  Clock clock() {
    return clock;
  }

  Dispatcher dispatcher() {
    return dispatcher;
  }

  BufferingTimer patience() {
    return patience;
  }

  GrpcConfig config() {
    return config;
  }

  GrpcConnectionPool pool() {
    return pool;
  }

  BufferBudget held() {
    return held;
  }

  boolean draining() {
    return draining;
  }

  /** Calls have no names of their own, and no open request may have another's. */
  String nextName() {
    return "grpc " + number++;
  }

  @Override
  public void startDraining() {
    draining = true;
    List.copyOf(links).forEach(ClientConnection::closeGracefully);
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
    return links.size();
  }

  @Override
  public void closeIdle() {
    List.copyOf(links).forEach(ClientConnection::closeIfIdle);
  }
}
