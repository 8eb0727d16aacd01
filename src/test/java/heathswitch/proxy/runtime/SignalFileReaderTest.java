package heathswitch.proxy.runtime;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import testing.Await;

/** The content read last is applied last, and a failed read does not lose its signal. */
@Timeout(60)
class SignalFileReaderTest {
  private final AtomicReference<String> file = new AtomicReference<>("first");
  private final List<String> applied = new CopyOnWriteArrayList<>();

  @Test
  void appliesDelayedReadBeforeNextOne() throws Exception {
    CountDownLatch reading = new CountDownLatch(1);
    CountDownLatch resume = new CountDownLatch(1);
    SignalFileReader reader =
        new SignalFileReader(
            signal -> {
              String text = file.get();
              if (signal == 1) {
                reading.countDown();
                await(resume);
              }
              return applied.add(text);
            });
    Thread first = new Thread(reader::onSignal);
    first.start();
    reading.await();
    file.set("second");
    Thread second = new Thread(reader::onSignal);
    second.start();
    Await.until("second read is waiting", () -> second.getState() == Thread.State.BLOCKED);
    resume.countDown();
    first.join();
    second.join();
    assertEquals(List.of("first", "second"), applied);
  }

  @Test
  void retriesFailedRead() throws Exception {
    file.set(null);
    SignalFileReader reader =
        new SignalFileReader(signal -> file.get() != null && applied.add(file.get()));
    reader.onSignal();
    file.set("late");
    Await.until("read", () -> applied.equals(List.of("late")));
  }

  @Test
  void newerSignalStopsRetriesOfOlderOne() throws Exception {
    List<Integer> read = new CopyOnWriteArrayList<>();
    SignalFileReader reader = new SignalFileReader(signal -> read.add(signal) && signal == 2);
    reader.onSignal();
    reader.onSignal();
    Thread.sleep(500);
    assertEquals(2, read.get(read.size() - 1));
    assertEquals(1, read.stream().filter(signal -> signal == 2).count());
  }

  private static void await(CountDownLatch latch) {
    try {
      latch.await();
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }
}
