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
 * Drains the balancer at SIGTERM. New connections arrive for up to 0.4 s after it and are served.
 * Clients keep using their open connections, and have no better alternative while the other
 * balancers restart too, so these connections are closed only when a later request might not be
 * answered in time. The process exits with code 0 when all accepted requests have been answered.
 */
public final class Shutdown {
  /** Exceeds the time for which the load balancer in front may still send new connections. */
  static final long STOP_LISTENING_MILLIS = 550;

  /**
   * SIGKILL follows SIGTERM no sooner than after the longest deadline, capped at this value, plus
   * 0.7 s.
   */
  private static final long MAX_DEADLINE_MILLIS = 3000;

  private static final long KILL_EXTRA_MILLIS = 700;

  /**
   * Requests that are unanswered this long before SIGKILL fail at once, since SIGKILL would leave
   * them without an answer. Long calls would fail needlessly if SIGKILL came later than assumed.
   */
  private static final long KILL_MARGIN_MILLIS = 400;

  /**
   * The time between the last request on a kept-alive connection and the failing of unanswered
   * requests. Accepting requests this late guards against rolling restarts in which the previous
   * balancer is not back yet, so that requests in between would find no balancer. Some requests
   * accepted that late fail that another balancer could have answered; if there is one, the load
   * balancer in front sends them there by itself.
   */
  private static final long ANSWER_TIME_MILLIS = 1100;

  private final EventLoop loop;
  private final ClientListener clientListener;
  private final Dispatcher dispatcher;
  private final MemberSource members;
  private final List<ProtocolListener> extraListeners;
  private final CountDownLatch drained = new CountDownLatch(1);
  private Thread shutdownHook;
  private BooleanSupplier hasSuccessor = () -> false;
  private volatile boolean draining;

  /** Run after the drain; may be null. */
  private volatile Runnable finalTask;

  /** After this time unanswered requests fail. */
  private long failPendingMillis;

  /** For this time open connections accept further requests. */
  private long keepAliveMillis;

  public Shutdown(
      EventLoop loop,
      Settings settings,
      ClientListener clientListener,
      Dispatcher dispatcher,
      MemberSource members,
      List<ProtocolListener> extraListeners) {
    reload(settings);
    this.loop = loop;
    this.clientListener = clientListener;
    this.dispatcher = dispatcher;
    this.members = members;
    this.extraListeners = extraListeners;
  }

  /**
   * Recalculates the time of SIGKILL from the longest deadline of new settings. To be called before
   * the drain.
   */
  final void reload(Settings settings) {
    long longest =
        settings.classes().stream().mapToLong(RequestClass::deadlineNanos).max().orElse(0);
    failPendingMillis =
        Math.min(longest / 1_000_000, MAX_DEADLINE_MILLIS) + KILL_EXTRA_MILLIS - KILL_MARGIN_MILLIS;
    keepAliveMillis = Math.max(STOP_LISTENING_MILLIS, failPendingMillis - ANSWER_TIME_MILLIS);
  }

  /** Sets the check of whether another process of this balancer accepts new clients from now on. */
  public void setSuccessorCheck(BooleanSupplier hasSuccessor) {
    this.hasSuccessor = hasSuccessor;
  }

  /**
   * Adds a task that is run after the drain and before the process exits, after tasks added
   * earlier. The task must finish by itself and quickly. To be called before the start.
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
   * Installs the hook that drains at SIGTERM, also during the start of the balancer. The JVM would
   * exit with the signal's code, so the hook halts it itself.
   */
  public void installHook() {
    shutdownHook = new Thread(this::drainAndHalt, "shutdown");
    Runtime.getRuntime().addShutdownHook(shutdownHook);
  }

  /** Removes the hook because nothing was started that could be drained. */
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

  /** Starts the drain and returns a latch that opens when it is complete. */
  public CountDownLatch drain() {
    if (draining) {
      return drained; // A second signal while the drain is in progress.
    }
    draining = true;
    boolean successorRuns = hasSuccessor.getAsBoolean();
    loop.execute(
        () -> {
          Log.info("shutdown", "draining, " + dispatcher.liveRequestCount() + " requests live");
          if (successorRuns) {
            handOver();
          } else {
            clientListener.startDraining();
            extraListeners.forEach(ProtocolListener::startDraining);
            loop.schedule(this::stopListening, STOP_LISTENING_MILLIS, MILLISECONDS);
          }
          loop.schedule(this::disableKeepAlive, keepAliveMillis, MILLISECONDS);
          loop.schedule(dispatcher::failAll, failPendingMillis, MILLISECONDS);
        });
    return drained;
  }

  /**
   * Hands over to another process that listens at the same address: new connections go to it at
   * once, and open ones are closed with their next answer. Clients are not told to leave before the
   * listener is closed, because they connect again at once, and the system resets connections that
   * it establishes during the close. Health checks that still reach this process report the
   * balancer as up, which it is.
   */
  private void handOver() {
    Log.info("shutdown", "handing over to another process");
    stopListening();
    clientListener.whenClosed(clientListener::disableKeepAlive);
  }

  private void stopListening() {
    clientListener.stopListening();
    extraListeners.forEach(ProtocolListener::stopListening);
  }

  private void disableKeepAlive() {
    clientListener.disableKeepAlive();
    waitForClients();
  }

  /** Whether there are clients, or may be new ones. */
  private boolean hasClients() {
    return clientListener.isListening()
        || clientListener.clientCount() > 0
        || extraListeners.stream().anyMatch(each -> each.isListening() || each.clientCount() > 0);
  }

  /** Waits for clients to leave: answers are still being written after the last decision. */
  private void waitForClients() {
    clientListener.closeIdle();
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
