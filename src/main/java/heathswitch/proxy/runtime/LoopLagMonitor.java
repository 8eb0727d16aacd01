package heathswitch.proxy.runtime;

import static java.util.concurrent.TimeUnit.NANOSECONDS;

import io.netty.channel.EventLoop;

/**
 * Measures the lag of the event loop, by how late a periodic timer runs. Used on the event loop
 * only.
 */
public final class LoopLagMonitor {
  private final long periodNanos;
  private long expectedNanos;
  private long maxLagSinceFigures;
  private long maxLagSinceStatus;

  /** Creates a monitor; of stalls shorter than the period, part may go unnoticed. */
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

  /** Returns the maximum lag since the last call of this method, for the line of figures. */
  public long takeMaxLagForFigures() {
    long maxLag = maxLagSinceFigures;
    maxLagSinceFigures = 0;
    return maxLag;
  }

  /** Like {@link #takeMaxLagForFigures}, but for the status page; the two are independent. */
  public long takeMaxLagForStatus() {
    long maxLag = maxLagSinceStatus;
    maxLagSinceStatus = 0;
    return maxLag;
  }
}
