package testing;

import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/** Waiting on a condition, for longer than any machine that is merely busy needs. */
public final class Await {
  private static final long WAIT_NANOS = TimeUnit.SECONDS.toNanos(60);

  private Await() {}

  /** Returns when the condition holds; fails with its name if it never does. */
  public static void until(String what, BooleanSupplier condition) throws InterruptedException {
    long until = System.nanoTime() + WAIT_NANOS;
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > until) {
        throw new AssertionError("waited in vain: " + what);
      }
      Thread.sleep(2);
    }
  }
}
