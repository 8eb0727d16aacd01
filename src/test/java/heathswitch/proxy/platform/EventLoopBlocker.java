package heathswitch.proxy.platform;

import io.netty.channel.EventLoop;
import java.util.concurrent.CountDownLatch;

/**
 * Blocks an event loop until closed, so that a test decides which events are due when the loop
 * continues.
 */
final class EventLoopBlocker implements AutoCloseable {
  private final CountDownLatch released = new CountDownLatch(1);

  EventLoopBlocker(EventLoop loop) throws InterruptedException {
    CountDownLatch blocked = new CountDownLatch(1);
    loop.execute(
        () -> {
          blocked.countDown();
          try {
            released.await();
          } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
          }
        });
    blocked.await();
  }

  @Override
  public void close() {
    released.countDown();
  }
}
