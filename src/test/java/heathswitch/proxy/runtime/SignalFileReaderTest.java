package heathswitch.proxy.runtime;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import testing.Await;

/** What was read last is handed on last, and a signal is not lost with a read that fails. */
@Timeout(60)
class SignalFileReaderTest {
  private final AtomicReference<String> file = new AtomicReference<>("first");
  private final List<String> taken = new CopyOnWriteArrayList<>();

  @Test
  void aReadThatIsHeldUpIsHandedOnBeforeTheNextOne() throws Exception {
    CountDownLatch reading = new CountDownLatch(1);
    CountDownLatch goOn = new CountDownLatch(1);
    SignalFileReader reads =
        new SignalFileReader(
            signal -> {
              String text = file.get();
              if (signal == 1) {
                reading.countDown();
                await(goOn);
              }
              return taken.add(text);
            });
    Thread first = new Thread(reads::onSignal);
    first.start();
    reading.await();
    file.set("second");
    Thread second = new Thread(reads::onSignal);
    second.start();
    Await.until("it waits its turn", () -> second.getState() == Thread.State.BLOCKED);
    goOn.countDown();
    first.join();
    second.join();
    assertEquals(List.of("first", "second"), taken);
  }

  @Test
  void aFileThatCannotBeReadIsReadAgain() throws Exception {
    file.set(null);
    SignalFileReader reads =
        new SignalFileReader(signal -> file.get() != null && taken.add(file.get()));
    reads.onSignal();
    file.set("late");
    Await.until("read", () -> taken.equals(List.of("late")));
  }

  @Test
  void aNewerSignalEndsTheTriesOfAnOlderOne() throws Exception {
    List<Integer> read = new CopyOnWriteArrayList<>();
    SignalFileReader reads = new SignalFileReader(signal -> read.add(signal) && signal == 2);
    reads.onSignal();
    reads.onSignal();
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
