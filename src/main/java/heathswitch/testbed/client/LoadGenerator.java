package heathswitch.testbed.client;

import static java.util.concurrent.TimeUnit.NANOSECONDS;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;

/**
 * Load generator on one event loop. It is either open-loop, with calls at random times independent
 * of the answers, or closed-loop, with a fixed number of calls in flight. The latency of a call is
 * measured from its intended send time, so that a stall of this process or of the balancer is seen
 * by every call that is due during it (no coordinated omission).
 */
public abstract class LoadGenerator {
  /** Margin of the protocol for an answer that is still in transit at the deadline. */
  static final long DEADLINE_MARGIN_NANOS = 250_000_000L;

  final EventLoop loop;
  final SplittableRandom random;
  private final double perSecond;
  private final int concurrency;
  private final CallLedger ledger;
  private final LoadStats stats = new LoadStats();
  private final CountDownLatch drained = new CountDownLatch(1);
  private long nextCallNanos;
  private long outstanding;
  private boolean stopping;

  /**
   * Creates a load that is not yet running.
   *
   * @param perSecond mean rate, with exponential times between calls, or 0 for a closed loop
   * @param concurrency number of calls in flight if the rate is 0
   * @param ledger records each call by its id, or null
   */
  LoadGenerator(EventLoop loop, double perSecond, int concurrency, long seed, CallLedger ledger) {
    this.loop = loop;
    this.perSecond = perSecond;
    this.concurrency = concurrency;
    this.ledger = ledger;
    this.random = new SplittableRandom(seed);
  }

  static InetSocketAddress requireLoopback(InetSocketAddress address) {
    if (!address.getAddress().isLoopbackAddress()) {
      throw new IllegalArgumentException("loopback address expected, not " + address);
    }
    return address;
  }

  /** Sends one call, which must later report its result to {@link #recordResult}. */
  abstract void sendCall(long intendedNanos);

  /** Closes the connections once no call is in flight. */
  abstract void closeConnections();

  final void startCalls() {
    loop.execute(
        () -> {
          nextCallNanos = System.nanoTime();
          if (perSecond > 0) {
            scheduleNextCall();
          }
          for (int i = 0; perSecond <= 0 && i < concurrency; i++) {
            startCall(System.nanoTime());
          }
        });
  }

  private void scheduleNextCall() {
    nextCallNanos += (long) (-Math.log(1 - random.nextDouble()) / perSecond * 1e9);
    long intendedNanos = nextCallNanos;
    loop.schedule(
        () -> {
          if (!stopping) {
            startCall(intendedNanos);
            scheduleNextCall();
          }
        },
        Math.max(0, intendedNanos - System.nanoTime()),
        NANOSECONDS);
  }

  private void startCall(long intendedNanos) {
    outstanding++;
    sendCall(intendedNanos);
  }

  final void recordResult(String id, LoadStats.Result result, long intendedNanos) {
    stats.add(result, System.nanoTime() - intendedNanos);
    if (ledger != null) {
      ledger.recordResult(id, result);
    }
    outstanding--;
    if (perSecond <= 0 && !stopping) {
      loop.execute(
          () -> {
            if (!stopping) {
              startCall(System.nanoTime());
            }
          });
    }
    signalIfDrained();
  }

  private void signalIfDrained() {
    if (stopping && outstanding == 0) {
      drained.countDown();
    }
  }

  public final LoadStats stats() {
    return stats;
  }

  /** Stops starting calls and returns when every call in flight has its result. */
  public final void stop() throws InterruptedException {
    loop.execute(
        () -> {
          stopping = true;
          signalIfDrained();
        });
    drained.await();
    loop.submit(this::closeConnections).sync();
  }
}
