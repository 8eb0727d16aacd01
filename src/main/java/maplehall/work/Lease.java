package maplehall.work;

import maplehall.dispatch.Dispatcher;

/**
 * How long this instance may send. Counted by the monotonic clock from before a renewal was sent,
 * so it is over here before anybody else can hold it for over. Read on the loop right before the
 * first byte of every attempt, so that a process that was stopped for a while sends nothing when it
 * wakes.
 */
final class Lease implements Dispatcher.Gate {
  private volatile boolean ends;
  private volatile long untilNanos;

  /** Lets everything pass, for an instance that never stops by itself. */
  void endless() {
    ends = false;
  }

  /** Holds until then, or for longer if it held for longer. */
  void until(long nanos) {
    if (!ends || nanos - untilNanos > 0) {
      untilNanos = nanos;
      ends = true;
    }
  }

  /** Is over now. */
  void end() {
    untilNanos = System.nanoTime();
    ends = true;
  }

  long leftNanos() {
    return ends ? untilNanos - System.nanoTime() : Long.MAX_VALUE;
  }

  @Override
  public boolean open() {
    return !ends || untilNanos - System.nanoTime() > 0;
  }
}
