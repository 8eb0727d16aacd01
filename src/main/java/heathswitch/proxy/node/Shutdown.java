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
  static final long STOP_LISTENING_MILLIS = 550;

  /**
   * SIGKILL comes no sooner after SIGTERM than the longest deadline, of these at most, and 0.7 s.
   */
  private static final long MAX_DEADLINE_MILLIS = 3000;

  private static final long KILL_EXTRA_MILLIS = 700;

  /**
   * What is not answered so long before SIGKILL fails at once: an answer that SIGKILL finds owed is
   * lost. Would do harm to long calls where SIGKILL comes later.
   */
  private static final long KILL_MARGIN_MILLIS = 400;

  /**
   * What a call is given from the end of the taking to that moment. Guards against restarts one
   * after the other, where the balancer before is not back yet: requests that come in between find
   * nobody. Taken so late some are failed that would have been answered elsewhere, had there been
   * another balancer; the front sends those elsewhere by itself.
   */
  private static final long ANSWER_TIME_MILLIS = 1100;

  private final EventLoop loop;
  private final ClientListener server;
  private final Dispatcher dispatcher;
  private final MemberSource members;
  private final List<ProtocolListener> extraListeners;
  private final CountDownLatch drained = new CountDownLatch(1);
  private Thread shutdownHook;
  private BooleanSupplier hasSuccessor = () -> false;
  private volatile boolean draining;

  /** What is left to say when all is drained, or null. */
  private volatile Runnable finalTask;

  /** When what is owed fails, and until when requests are taken on open connections. */
  private long failPendingMillis;

  private long stopAcceptingMillis;

  public Shutdown(
      EventLoop loop,
      Settings settings,
      ClientListener server,
      Dispatcher dispatcher,
      MemberSource members,
      List<ProtocolListener> extraListeners) {
    reload(settings);
    this.loop = loop;
    this.server = server;
    this.dispatcher = dispatcher;
    this.members = members;
    this.extraListeners = extraListeners;
  }

  /** The longest deadline of other settings says when SIGKILL comes; before the drain. */
  final void reload(Settings settings) {
    long longest =
        settings.classes().stream().mapToLong(RequestClass::deadlineNanos).max().orElse(0);
    failPendingMillis =
        Math.min(longest / 1_000_000, MAX_DEADLINE_MILLIS) + KILL_EXTRA_MILLIS - KILL_MARGIN_MILLIS;
    stopAcceptingMillis = Math.max(STOP_LISTENING_MILLIS, failPendingMillis - ANSWER_TIME_MILLIS);
  }

  /** Tells whether another process of this balancer takes the clients that come from now on. */
  public void setSuccessorCheck(BooleanSupplier hasSuccessor) {
    this.hasSuccessor = hasSuccessor;
  }

  /**
   * Is run when all is drained, before the process ends, after those that were named before; must
   * end by itself, and soon. Before the start.
   */
  public void addFinalTask(Runnable task) {
    Runnable earlier = finalTask;
    finalTask =
        earlier == null
            ? task
            : () -> {
              earlier.run();
              task.run();
            };
  }

  /** Whether the drain has begun. */
  public boolean isDraining() {
    return draining;
  }

  /**
   * Drains at SIGTERM, also at one that comes while the balancer starts. The JVM would exit with
   * the signal's code, so the hook ends it itself.
   */
  public void installHook() {
    shutdownHook = new Thread(this::drainAndHalt, "shutdown");
    Runtime.getRuntime().addShutdownHook(shutdownHook);
  }

  /** Nothing was started that could be drained. */
  public void removeHook() {
    Runtime.getRuntime().removeShutdownHook(shutdownHook);
  }

  private void drainAndHalt() {
    try {
      drain().await();
    } catch (InterruptedException e) {
      Log.warn("shutdown", "interrupted");
    }
    if (finalTask != null) {
      finalTask.run();
    }
    Runtime.getRuntime().halt(0);
  }

  /** Begins the drain; the latch opens when it is complete. */
  public CountDownLatch drain() {
    if (draining) {
      return drained; // A second signal asks for what is already going on.
    }
    draining = true;
    boolean handOver = hasSuccessor.getAsBoolean();
    loop.execute(
        () -> {
          Log.info("shutdown", "draining, " + dispatcher.liveRequestCount() + " requests live");
          if (handOver) {
            handOver();
          } else {
            server.startDraining();
            extraListeners.forEach(ProtocolListener::drain);
            loop.schedule(this::stopListening, STOP_LISTENING_MILLIS, MILLISECONDS);
          }
          loop.schedule(this::stopAccepting, stopAcceptingMillis, MILLISECONDS);
          loop.schedule(dispatcher::failAll, failPendingMillis, MILLISECONDS);
        });
    return drained;
  }

  /**
   * Another process has the address too: new connections are its own at once, the open ones go with
   * their next answer. Whoever asks here whether the balancer is up hears yes, as it is.
   */
  private void handOver() {
    Log.info("shutdown", "another process has followed");
    stopListening();
    server.disableKeepAlive();
  }

  private void stopListening() {
    server.stopListening();
    extraListeners.forEach(ProtocolListener::stopListening);
  }

  private void stopAccepting() {
    server.disableKeepAlive();
    waitForClients();
  }

  /** Whether there are clients still, or may come. */
  private boolean hasClients() {
    return server.isListening()
        || server.clientCount() > 0
        || extraListeners.stream().anyMatch(front -> front.isListening() || front.clients() > 0);
  }

  /** Answers are still on their way to clients after the last request has been decided. */
  private void waitForClients() {
    server.closeIdle();
    extraListeners.forEach(ProtocolListener::closeIdle);
    if (hasClients()) {
      loop.schedule(this::waitForClients, 20, MILLISECONDS);
      return;
    }
    members.stop();
    Log.info("shutdown", "drained");
    drained.countDown();
  }
}
