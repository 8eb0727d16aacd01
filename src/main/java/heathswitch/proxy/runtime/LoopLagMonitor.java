package heathswitch.proxy.runtime;

import static java.util.concurrent.TimeUnit.NANOSECONDS;

import io.netty.channel.EventLoop;

/** How late the event loop runs: a timer that ought to come at even times. On the loop only. */
public final class LoopLagMonitor {
  private final long periodNanos;
  private long expectedNanos;
  private long maxLagSinceFigures;
  private long maxLagSinceStatus;

  /** A stall shorter than the period may be missed in part. */
  public LoopLagMonitor(long periodNanos) {
    this.periodNanos = periodNanos;
  }

  public void start(EventLoop loop) {
    loop.scheduleAtFixedRate(this::tick, periodNanos, periodNanos, NANOSECONDS);
  }

  private void tick() {
    long now = System.nanoTime();
    if (expectedNanos != 0) {
      maxLagSinceFigures = Math.max(maxLagSinceFigures, now - expectedNanos);
      maxLagSinceStatus = Math.max(maxLagSinceStatus, now - expectedNanos);
    }
    expectedNanos = now + periodNanos;
  }

  /** The greatest lateness since the last call of this method. */
  public long takeMaxLagForFigures() {
    long maxLag = maxLagSinceFigures;
    maxLagSinceFigures = 0;
    return maxLag;
  }

  /** As {@link #takeLatestNanos}, for another reader: neither takes anything from the other. */
  public long takeMaxLagForStatus() {
    long maxLag = maxLagSinceStatus;
    maxLagSinceStatus = 0;
    return maxLag;
  }
}
