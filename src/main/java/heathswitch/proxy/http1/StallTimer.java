package heathswitch.proxy.http1;

import static java.util.concurrent.TimeUnit.MILLISECONDS;

import io.netty.util.concurrent.EventExecutor;
import io.netty.util.concurrent.Future;

/** Checks, some time after it was started, whether a connection has received bytes since then. */
final class StallTimer {
  /** Receives the result of a check. The timer has stopped and can be started again. */
  interface Check {
    void run(boolean receivedBytes);
  }

  private final StrictResponseDecoder decoder;
  private Future<?> timer;
  private int readsAtStart;

  StallTimer(StrictResponseDecoder decoder) {
    this.decoder = decoder;
  }

  boolean isRunning() {
    return timer != null;
  }

  /** Starts the timer, which must not be running. */
  void start(EventExecutor loop, long millis, Check check) {
    readsAtStart = decoder.readCount();
    timer =
        loop.schedule(
            () -> {
              timer = null;
              check.run(decoder.readCount() != readsAtStart);
            },
            millis,
            MILLISECONDS);
  }

  void cancel() {
    if (timer != null) {
      timer.cancel(false);
      timer = null;
    }
  }
}
