package heathswitch.proxy.node;

import static java.util.concurrent.TimeUnit.MILLISECONDS;

import heathswitch.policy.api.RequestClass;
import heathswitch.policy.api.Settings;
import heathswitch.proxy.dispatch.Dispatcher;
import heathswitch.proxy.http1.ClientListener;
import heathswitch.proxy.runtime.Log;
import io.netty.channel.EventLoop;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.function.BooleanSupplier;

/**
 * SIGTERM: new connections still come for up to 0.4 s and are served. Clients use those that they
 * have for as long as they stay open, and while the other balancers restart too they have no better
 * place to go, so these are closed only when what is taken later might not be answered in time. The
 * process ends with code 0 when all that was taken has been answered.
 */
public final class Shutdown {
  /** Past the time for which the front may still send new connections. */
  static final long LISTEN_MILLIS = 550;

  /**
   * SIGKILL comes no sooner after SIGTERM than the longest deadline, of these at most, and 0.7 s.
   */
  private static final long MOST_DEADLINE_MILLIS = 3000;

  private static final long KILL_MILLIS = 700;

  /**
   * What is not answered so long before SIGKILL fails at once: an answer that SIGKILL finds owed is
   * lost. Would do harm to long calls where SIGKILL comes later.
   */
  private static final long SPARE_MILLIS = 400;

  /**
   * What a call is given from the end of the taking to that moment. Guards against restarts one
   * after the other, where the balancer before is not back yet: requests that come in between find
   * nobody. Taken so late some are failed that would have been answered elsewhere, had there been
   * another balancer; the front sends those elsewhere by itself.
   */
  private static final long ANSWER_MILLIS = 1100;

  private final EventLoop loop;
  private final ClientListener server;
  private final Dispatcher dispatcher;
  private final MemberSource members;
  private final List<Front> fronts;
  private final CountDownLatch drained = new CountDownLatch(1);
  private Thread hook;
  private BooleanSupplier followed = () -> false;
  private volatile boolean begun;

  /** What is left to say when all is drained, or null. */
  private volatile Runnable last;

  /** When what is owed fails, and until when requests are taken on open connections. */
  private long finishMillis;

  private long takeMillis;

  public Shutdown(
      EventLoop loop,
      Settings settings,
      ClientListener server,
      Dispatcher dispatcher,
      MemberSource members,
      List<Front> fronts) {
    reload(settings);
    this.loop = loop;
    this.server = server;
    this.dispatcher = dispatcher;
    this.members = members;
    this.fronts = fronts;
  }

  /** The longest deadline of other settings says when SIGKILL comes; before the drain. */
  final void reload(Settings settings) {
    long longest =
        settings.classes().stream().mapToLong(RequestClass::deadlineNanos).max().orElse(0);
    finishMillis = Math.min(longest / 1_000_000, MOST_DEADLINE_MILLIS) + KILL_MILLIS - SPARE_MILLIS;
    takeMillis = Math.max(LISTEN_MILLIS, finishMillis - ANSWER_MILLIS);
  }

  /** Tells whether another process of this balancer takes the clients that come from now on. */
  public void followed(BooleanSupplier by) {
    followed = by;
  }

  /**
   * Is run when all is drained, before the process ends, after those that were named before; must
   * end by itself, and soon. Before the start.
   */
  public void lastly(Runnable task) {
    Runnable before = last;
    last =
        before == null
            ? task
            : () -> {
              before.run();
              task.run();
            };
  }

  /** Whether the drain has begun. */
  public boolean begun() {
    return begun;
  }

  /**
   * Drains at SIGTERM, also at one that comes while the balancer starts. The JVM would exit with
   * the signal's code, so the hook ends it itself.
   */
  public void install() {
    hook = new Thread(this::drainAndEnd, "shutdown");
    Runtime.getRuntime().addShutdownHook(hook);
  }

  /** Nothing was started that could be drained. */
  public void uninstall() {
    Runtime.getRuntime().removeShutdownHook(hook);
  }

  private void drainAndEnd() {
    try {
      drain().await();
    } catch (InterruptedException e) {
      Log.warn("shutdown", "interrupted");
    }
    if (last != null) {
      last.run();
    }
    Runtime.getRuntime().halt(0);
  }

  /** Begins the drain; the latch opens when it is complete. */
  public CountDownLatch drain() {
    if (begun) {
      return drained; // A second signal asks for what is already going on.
    }
    begun = true;
    boolean leave = followed.getAsBoolean();
    loop.execute(
        () -> {
          Log.info("shutdown", "draining, " + dispatcher.live() + " requests live");
          if (leave) {
            leave();
          } else {
            server.startDraining();
            fronts.forEach(Front::drain);
            loop.schedule(this::stopListening, LISTEN_MILLIS, MILLISECONDS);
          }
          loop.schedule(this::stopTaking, takeMillis, MILLISECONDS);
          loop.schedule(dispatcher::failAll, finishMillis, MILLISECONDS);
        });
    return drained;
  }

  /**
   * Another process has the address too: new connections are its own at once, the open ones go with
   * their next answer. Whoever asks here whether the balancer is up hears yes, as it is.
   */
  private void leave() {
    Log.info("shutdown", "another process has followed");
    stopListening();
    server.disableKeepAlive();
  }

  private void stopListening() {
    server.stopListening();
    fronts.forEach(Front::stopListening);
  }

  private void stopTaking() {
    server.disableKeepAlive();
    waitForClients();
  }

  /** Whether there are clients still, or may come. */
  private boolean owed() {
    return server.isListening()
        || server.clientCount() > 0
        || fronts.stream().anyMatch(front -> front.listening() || front.clients() > 0);
  }

  /** Answers are still on their way to clients after the last request has been decided. */
  private void waitForClients() {
    server.closeIdle();
    fronts.forEach(Front::closeIdle);
    if (owed()) {
      loop.schedule(this::waitForClients, 20, MILLISECONDS);
      return;
    }
    members.stop();
    Log.info("shutdown", "drained");
    drained.countDown();
  }
}
