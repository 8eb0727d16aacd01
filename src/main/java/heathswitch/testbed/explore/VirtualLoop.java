package heathswitch.testbed.explore;

import io.netty.util.concurrent.AbstractScheduledEventExecutor;
import io.netty.util.concurrent.DefaultPromise;
import io.netty.util.concurrent.Future;
import java.util.ArrayDeque;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** An event loop whose time stands still until it is moved; on the explorer's own thread. */
final class VirtualLoop extends AbstractScheduledEventExecutor {
  private static final int MOST_TASKS = 100_000;

  private final ArrayDeque<Runnable> tasks = new ArrayDeque<>();
  private long now = 1_000_000_000L;

  long now() {
    return now;
  }

  /** Runs what is due now, and all that follows from it at once. */
  void settle() {
    for (int i = 0; i < MOST_TASKS; i++) {
      Runnable due = pollScheduledTask(now);
      Runnable next = due == null ? tasks.poll() : due;
      if (next == null) {
        return;
      }
      next.run();
    }
    throw new IllegalStateException("a turn of the loop does not end");
  }

  /** When the next timer is due, or -1 where there is none. */
  long nextDue() {
    return nextScheduledTaskDeadlineNanos();
  }

  /** Moves the clock and runs the timers on the way, each at its time. */
  void advanceTo(long nanos) {
    for (long due = nextDue(); due >= 0 && due <= nanos; due = nextDue()) {
      now = Math.max(now, due);
      settle();
    }
    now = Math.max(now, nanos);
    settle();
  }

  @Override
  protected long getCurrentTimeNanos() {
    return now;
  }

  @Override
  public boolean inEventLoop(Thread thread) {
    return true;
  }

  @Override
  public void execute(Runnable task) {
    tasks.add(task);
  }

  @Override
  public boolean isShuttingDown() {
    return false;
  }

  @Override
  public boolean isShutdown() {
    return false;
  }

  @Override
  public boolean isTerminated() {
    return false;
  }

  @Override
  public boolean awaitTermination(long timeout, TimeUnit unit) {
    return false;
  }

  @Override
  public Future<?> shutdownGracefully(long quiet, long timeout, TimeUnit unit) {
    return terminationFuture();
  }

  @Override
  public Future<?> terminationFuture() {
    return new DefaultPromise<Void>(this);
  }

  @Override
  @Deprecated
  public void shutdown() {
    tasks.clear();
    cancelScheduledTasks();
  }

  @Override
  public List<Runnable> shutdownNow() {
    return List.of();
  }
}
