package heathswitch.proxy.gateway;

import heathswitch.proxy.runtime.Log;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Watches the files of an identity while the gateway runs. If they change and can be used, the new
 * identity is activated; otherwise the current one stays in use and the reason is logged. Reads the
 * files on its own thread.
 */
final class IdentityFiles implements AutoCloseable {
  private static final long POLL_MILLIS = 500;

  /** What is compared to detect a change of a file; the size is -1 if it cannot be read. */
  private record Stamp(FileTime time, long size) {}

  private final GatewayTable.Keys keys;
  private final String site;
  private final Consumer<Identity> activate;
  private final ScheduledExecutorService poller;
  private List<Stamp> polledStamps;
  private List<Stamp> readStamps;

  /** The problem that was logged last, which is not logged again while it persists. */
  private String loggedProblem = "";

  /**
   * Starts to watch the files.
   *
   * @param activate called on the poller's thread with each identity to be used from then on
   */
  IdentityFiles(GatewayTable.Keys keys, String site, Consumer<Identity> activate) {
    this.keys = keys;
    this.site = site;
    this.activate = activate;
    polledStamps = currentStamps();
    readStamps = polledStamps;
    poller =
        Executors.newSingleThreadScheduledExecutor(
            task -> {
              Thread thread = new Thread(task, "gateway-identity");
              thread.setDaemon(true);
              return thread;
            });
    poller.scheduleWithFixedDelay(this::poll, POLL_MILLIS, POLL_MILLIS, TimeUnit.MILLISECONDS);
  }

  private List<Stamp> currentStamps() {
    List<Stamp> stamps = new ArrayList<>(3);
    for (Path file : List.of(keys.certificate(), keys.key(), keys.authority())) {
      try {
        stamps.add(new Stamp(Files.getLastModifiedTime(file), Files.size(file)));
      } catch (IOException e) {
        stamps.add(new Stamp(FileTime.fromMillis(0), -1));
      }
    }
    return stamps;
  }

  /** Reads the files if they have changed and then remained unchanged for one poll. */
  private void poll() {
    try {
      List<Stamp> now = currentStamps();
      boolean unchanged = now.equals(polledStamps);
      polledStamps = now;
      if (!unchanged || now.equals(readStamps)) {
        return;
      }
      Identity next = Identity.read(keys, site);
      // Only after success: an unusable file may become usable without a change of its stamp.
      readStamps = now;
      loggedProblem = "";
      Log.info("gateway", "new certificate, valid until " + next.expiry().toInstant());
      activate.accept(next);
    } catch (Identity.UnusableFileException e) {
      if (!loggedProblem.equals(e.getMessage())) {
        loggedProblem = String.valueOf(e.getMessage());
        Log.warn("gateway", "certificate not replaced: " + loggedProblem);
      }
    } catch (RuntimeException e) {
      Log.error("gateway", "certificate not replaced", e); // Rethrown, it would end the polling.
    }
  }

  @Override
  public void close() {
    poller.shutdownNow();
  }
}
