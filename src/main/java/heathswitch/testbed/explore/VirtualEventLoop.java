package heathswitch.testbed.explore;

import io.netty.util.concurrent.AbstractScheduledEventExecutor;
import io.netty.util.concurrent.DefaultPromise;
import io.netty.util.concurrent.Future;
import java.util.ArrayDeque;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** An event loop in virtual time that runs on the calling thread and advances only on demand. */
final class VirtualEventLoop extends AbstractScheduledEventExecutor {
  private static final int MAX_TASKS = 100_000;

  private final ArrayDeque<Runnable> tasks = new ArrayDeque<>();
  private long nowNanos = 1_000_000_000L;

  long nowNanos() {
    return nowNanos;
  }

  /** Runs all due tasks, including those they schedule for now. */
  void runDueTasks() {
    for (int i = 0; i < MAX_TASKS; i++) {
      Runnable due = pollScheduledTask(nowNanos);
      Runnable next = due == null ? tasks.poll() : due;
      if (next == null) {
        return;
      }
      next.run();
    }
    throw new IllegalStateException("event loop does not become idle");
  }

  /** The time of the next timer, or -1 if there is none. */
  long nextDeadlineNanos() {
    return nextScheduledTaskDeadlineNanos();
  }

  /** Advances the clock and runs each timer at its time. */
  void advanceTo(long nanos) {
    for (long due = nextDeadlineNanos(); due >= 0 && due <= nanos; due = nextDeadlineNanos()) {
      nowNanos = Math.max(nowNanos, due);
      runDueTasks();
    }
    nowNanos = Math.max(nowNanos, nanos);
    runDueTasks();
  }

  @Override
  protected long getCurrentTimeNanos() {
    return nowNanos;
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
