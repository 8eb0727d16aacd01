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
 * Polls the key file and reloads it. A changed file is read once two polls in a row have found the
 * same stamp. If it is not valid, the current keys stay in use and the reason is logged. Reads on
 * its own thread.
 */
final class KeyFileWatcher implements AutoCloseable {
  private static final long POLL_MILLIS = 500;

  private final Path path;
  private final Consumer<KeyRing> listener;
  private final ScheduledExecutorService poller;
  private BoundedFile.Stamp lastStamp;
  private KeyRing keys;
  private String lastWarning = "";

  /**
   * Starts to watch the file.
   *
   * @param keys the keys in use so far
   * @param listener receives new keys, on the poller's thread
   */
  KeyFileWatcher(Path path, KeyRing keys, Consumer<KeyRing> listener) {
    this.path = path;
    this.keys = keys;
    this.listener = listener;
    poller =
        Executors.newSingleThreadScheduledExecutor(
            task -> {
              Thread thread = new Thread(task, "peer-keys");
              thread.setDaemon(true);
              return thread;
            });
    poller.scheduleWithFixedDelay(this::poll, 0, POLL_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void poll() {
    try {
      BoundedFile.Stamp stamp = BoundedFile.stamp(path);
      boolean unchanged = stamp.equals(lastStamp);
      lastStamp = stamp;
      if (unchanged) {
        KeyRing next = KeyRing.read(path); // At every poll: two writes may leave the same stamp.
        lastWarning = "";
        if (!next.hasSameKeys(keys)) {
          keys = next;
          Log.info("peer keys", "new keys loaded; " + next.signingKeyId() + " signs");
          listener.accept(next);
        }
      }
    } catch (IOException | KeyRing.InvalidKeysException e) {
      if (!lastWarning.equals(e.getMessage())) {
        lastWarning = String.valueOf(e.getMessage());
        Log.warn("peer keys", "previous keys stay in use: " + lastWarning);
      }
    } catch (RuntimeException e) {
      // If it were thrown on, the executor would not poll again.
      Log.error("peer keys", "previous keys stay in use", e);
    }
  }

  @Override
  public void close() {
    poller.shutdownNow();
  }
}
