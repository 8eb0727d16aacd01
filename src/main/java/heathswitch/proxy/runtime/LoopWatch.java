package heathswitch.proxy.runtime;

import static java.util.concurrent.TimeUnit.NANOSECONDS;

import io.netty.channel.EventLoop;

/** How late the event loop runs: a timer that ought to come at even times. On the loop only. */
public final class LoopWatch {
  private final long periodNanos;
  private long expectedNanos;
  private long latestNanos;
  private long askedNanos;

  /** A stall shorter than the period may be missed in part. */
  public LoopWatch(long periodNanos) {
    this.periodNanos = periodNanos;
  }

  public void start(EventLoop loop) {
    loop.scheduleAtFixedRate(this::tick, periodNanos, periodNanos, NANOSECONDS);
  }

  private void tick() {
    long now = System.nanoTime();
    if (expectedNanos != 0) {
      latestNanos = Math.max(latestNanos, now - expectedNanos);
      askedNanos = Math.max(askedNanos, now - expectedNanos);
    }
    expectedNanos = now + periodNanos;
  }

  /** The greatest lateness since the last call of this method. */
  public long takeLatestNanos() {
    long latest = latestNanos;
    latestNanos = 0;
    return latest;
  }

  /** As {@link #takeLatestNanos}, for another reader: neither takes anything from the other. */
  public long takeAskedNanos() {
    long asked = askedNanos;
    askedNanos = 0;
    return asked;
  }
}
