package heathswitch.proxy.runtime;

import java.util.function.LongSupplier;

/**
 * A monotonic clock in nanoseconds of Unix time. The wall clock is read once: the start times of
 * upstreams are on the same scale, and setting the system clock does not disturb delays.
 */
public final class Clock {
  private final LongSupplier nanos;
  private final long offsetNanos;

  /** Creates a clock that runs with the system's monotonic time. */
  public Clock() {
    nanos = System::nanoTime;
    offsetNanos = System.currentTimeMillis() * 1_000_000L - nanos.getAsLong();
  }

  /** Creates a clock that reads the given source. */
  public Clock(LongSupplier nanos) {
    this.nanos = nanos;
    offsetNanos = 0;
  }

  public long nowNanos() {
    return offsetNanos + nanos.getAsLong();
  }
}
