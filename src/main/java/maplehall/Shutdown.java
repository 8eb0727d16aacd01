package maplehall;

import static java.util.concurrent.TimeUnit.MILLISECONDS;

import io.netty.channel.EventLoop;
import java.util.concurrent.CountDownLatch;

/**
 * SIGTERM: new connections still come for up to 0.4 s and are served. Clients use those that they
 * have for as long as they stay open, and while the other balancers restart too they have no better
 * place to go, so these are closed only when what is taken later might not be answered in time. The
 * process ends with code 0 when all that was taken has been answered.
 */
final class Shutdown {
  /** Past the time for which the front may still send new connections. */
  static final long LISTEN_MILLIS = 550;

  /** How long requests are taken on open connections. */
  static final long TAKE_MILLIS = 1500;

  /**
   * What is not answered by then fails at once: SIGKILL may come 3.7 s after SIGTERM, and an answer
   * that it finds owed is lost. Would do harm to long calls where SIGKILL comes later.
   */
  static final long FINISH_MILLIS = 3300;

  private final EventLoop loop;
  private final ClientServer server;
  private final Dispatcher dispatcher;
  private final DiscoveryClient discovery;
  private final CountDownLatch drained = new CountDownLatch(1);

  Shutdown(EventLoop loop, ClientServer server, Dispatcher dispatcher, DiscoveryClient discovery) {
    this.loop = loop;
    this.server = server;
    this.dispatcher = dispatcher;
    this.discovery = discovery;
  }

  /** Drains at SIGTERM. The JVM would exit with the signal's code, so the hook ends it itself. */
  void install() {
    Runtime.getRuntime()
        .addShutdownHook(
            new Thread(
                () -> {
                  try {
                    drain().await();
                  } catch (InterruptedException e) {
                    Log.warn("shutdown", "interrupted");
                  }
                  Runtime.getRuntime().halt(0);
                },
                "shutdown"));
  }

  /** Begins the drain; the latch opens when it is complete. */
  CountDownLatch drain() {
    loop.execute(
        () -> {
          Log.info("shutdown", "draining, " + dispatcher.live() + " requests live");
          server.drain();
          loop.schedule(server::stopListening, LISTEN_MILLIS, MILLISECONDS);
          loop.schedule(this::stopTaking, TAKE_MILLIS, MILLISECONDS);
          loop.schedule(dispatcher::failAll, FINISH_MILLIS, MILLISECONDS);
        });
    return drained;
  }

  private void stopTaking() {
    server.stopTaking();
    waitForClients();
  }

  /** Answers are still on their way to clients after the last request has been decided. */
  private void waitForClients() {
    server.closeIdle();
    if (server.clients() > 0) {
      loop.schedule(this::waitForClients, 20, MILLISECONDS);
      return;
    }
    discovery.stop();
    Log.info("shutdown", "drained");
    drained.countDown();
  }
}
