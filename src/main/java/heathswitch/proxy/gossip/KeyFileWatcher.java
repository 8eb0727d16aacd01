package heathswitch.proxy.gossip;

import heathswitch.proxy.files.BoundedFile;
import heathswitch.proxy.runtime.Log;
import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Follows the file of keys: one that is replaced is taken whole once it has stayed as it is for a
 * look, else the keys stay as they were and the log says why. Reads on a thread of its own.
 */
final class KeyFileWatcher implements AutoCloseable {
  private static final long POLL_MILLIS = 500;

  private final Path path;
  private final Consumer<KeyRing> taken;
  private final ScheduledExecutorService poller;
  private BoundedFile.Stamp seen;
  private KeyRing keys;
  private String told = "";

  /**
   * Follows it from now on.
   *
   * @param taken told of each that is to be used from now on, on the poller's thread
   */
  KeyFileWatcher(Path path, KeyRing keys, Consumer<KeyRing> taken) {
    this.path = path;
    this.keys = keys;
    this.taken = taken;
    poller =
        Executors.newSingleThreadScheduledExecutor(
            work -> {
              Thread thread = new Thread(work, "peer-keys");
              thread.setDaemon(true);
              return thread;
            });
    poller.scheduleWithFixedDelay(this::look, 0, POLL_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void look() {
    try {
      BoundedFile.Stamp now = BoundedFile.stamp(path);
      boolean settled = now.equals(seen);
      seen = now;
      if (settled) {
        KeyRing next = KeyRing.read(path); // At every look: two writes may leave one stamp.
        told = "";
        if (!next.like(keys)) {
          keys = next;
          Log.info("peer keys", "new keys; " + next.signs() + " signs");
          taken.accept(next);
        }
      }
    } catch (IOException | KeyRing.Unusable e) {
      if (!told.equals(e.getMessage())) {
        told = String.valueOf(e.getMessage());
        Log.warn("peer keys", "keys left as they were: " + told);
      }
    } catch (RuntimeException e) {
      Log.error("peer keys", "keys left as they were", e); // Thrown on, it would end the looks.
    }
  }

  @Override
  public void close() {
    poller.shutdownNow();
  }
}
