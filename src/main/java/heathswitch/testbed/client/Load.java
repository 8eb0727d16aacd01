package heathswitch.testbed.client;

import static java.util.concurrent.TimeUnit.NANOSECONDS;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;

/**
 * Calls at drawn times whatever the answers do, or always so many at a time, on one loop. A call's
 * latency counts from when it was meant to be sent: a stall of this process or of the balancer is
 * seen by every call that falls into it (no coordinated omission).
 */
public abstract class Load {
  /** A balancer's answer may be on its way when the time is up; the protocol's margin. */
  static final long MARGIN_NANOS = 250_000_000L;

  final EventLoop loop;
  final SplittableRandom random;
  private final double perSecond;
  private final int always;
  private final Ledger ledger;
  private final Tally tally = new Tally();
  private final CountDownLatch ended = new CountDownLatch(1);
  private long nextNanos;
  private long owed;
  private boolean stopping;

  /**
   * A load that is not yet running.
   *
   * @param perSecond mean rate, with exponential times between calls, or 0 where a number is out
   * @param always calls that are always out where the rate is 0
   * @param ledger told of each call by its id, or null
   */
  Load(EventLoop loop, double perSecond, int always, long seed, Ledger ledger) {
    this.loop = loop;
    this.perSecond = perSecond;
    this.always = always;
    this.ledger = ledger;
    this.random = new SplittableRandom(seed);
  }

  static InetSocketAddress loopback(InetSocketAddress address) {
    if (!address.getAddress().isLoopbackAddress()) {
      throw new IllegalArgumentException("loopback address expected, not " + address);
    }
    return address;
  }

  /** Sends one call; its result is owed from now on. */
  abstract void call(long intendedNanos);

  /** Nothing is owed any more. */
  abstract void closeAll();

  final void begin() {
    loop.execute(
        () -> {
          nextNanos = System.nanoTime();
          if (perSecond > 0) {
            plan();
          }
          for (int i = 0; perSecond <= 0 && i < always; i++) {
            next(System.nanoTime());
          }
        });
  }

  private void plan() {
    nextNanos += (long) (-Math.log(1 - random.nextDouble()) / perSecond * 1e9);
    long due = nextNanos;
    loop.schedule(
        () -> {
          if (!stopping) {
            next(due);
            plan();
          }
        },
        Math.max(0, due - System.nanoTime()),
        NANOSECONDS);
  }

  private void next(long intendedNanos) {
    owed++;
    call(intendedNanos);
  }

  final void result(String id, Tally.Result result, long intendedNanos) {
    tally.add(result, System.nanoTime() - intendedNanos);
    if (ledger != null) {
      ledger.ended(id, result);
    }
    owed--;
    if (perSecond <= 0 && !stopping) {
      loop.execute(
          () -> {
            if (!stopping) {
              next(System.nanoTime());
            }
          });
    }
    endIfDone();
  }

  private void endIfDone() {
    if (stopping && owed == 0) {
      ended.countDown();
    }
  }

  public final Tally tally() {
    return tally;
  }

  /** No new calls; returns when every one that was sent has its result. */
  public final void stop() throws InterruptedException {
    loop.execute(
        () -> {
          stopping = true;
          endIfDone();
        });
    ended.await();
    loop.submit(this::closeAll).sync();
  }
}
