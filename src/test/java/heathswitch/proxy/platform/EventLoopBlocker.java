package heathswitch.proxy.platform;

import io.netty.channel.EventLoop;
import java.util.concurrent.CountDownLatch;

/** Holds an event loop still, so that a test decides what it finds when it goes on. */
final class EventLoopBlocker implements AutoCloseable {
  private final CountDownLatch open = new CountDownLatch(1);

  EventLoopBlocker(EventLoop loop) throws InterruptedException {
    CountDownLatch held = new CountDownLatch(1);
    loop.execute(
        () -> {
          held.countDown();
          try {
            open.await();
          } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
          }
        });
    held.await();
  }

  @Override
  public void close() {
    open.countDown();
  }
}
