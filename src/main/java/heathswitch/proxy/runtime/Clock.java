package heathswitch.proxy.runtime;

import java.util.function.LongSupplier;

/**
 * Nanoseconds of Unix time that never step back: the wall clock is read once, so the start times of
 * upstreams are on the same scale, and a clock that is set does not disturb any delay.
 */
public final class Clock {
  private final LongSupplier nanos;
  private final long offsetNanos;

  /** The system's clock. */
  public Clock() {
    nanos = System::nanoTime;
    offsetNanos = System.currentTimeMillis() * 1_000_000L - nanos.getAsLong();
  }

  /** A clock that somebody else moves. */
  public Clock(LongSupplier nanos) {
    this.nanos = nanos;
    offsetNanos = 0;
  }

  public long nowNanos() {
    return offsetNanos + nanos.getAsLong();
  }
}
