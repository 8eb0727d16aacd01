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
 * Follows the files of an identity while the gateway runs: a replacement is read whole and taken if
 * it can be used, else the identity stays as it was and the log says why. Reads on a thread of its
 * own.
 */
final class IdentityFiles implements AutoCloseable {
  private static final long POLL_MILLIS = 500;

  private record Stamp(FileTime time, long size) {}

  private final GatewayTable.Keys keys;
  private final String site;
  private final Consumer<Identity> taken;
  private final ScheduledExecutorService poller;
  private List<Stamp> seen;
  private List<Stamp> read;

  /** What was wrong at the look before, told once. */
  private String told = "";

  /**
   * Follows the files from now on.
   *
   * @param taken told of each identity that is to be used from now on, on the poller's thread
   */
  IdentityFiles(GatewayTable.Keys keys, String site, Consumer<Identity> taken) {
    this.keys = keys;
    this.site = site;
    this.taken = taken;
    seen = stamps();
    read = seen;
    poller =
        Executors.newSingleThreadScheduledExecutor(
            work -> {
              Thread thread = new Thread(work, "gateway-identity");
              thread.setDaemon(true);
              return thread;
            });
    poller.scheduleWithFixedDelay(this::look, POLL_MILLIS, POLL_MILLIS, TimeUnit.MILLISECONDS);
  }

  private List<Stamp> stamps() {
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

  /** Reads what has changed and then stayed as it is for one look. */
  private void look() {
    try {
      List<Stamp> now = stamps();
      boolean settled = now.equals(seen);
      seen = now;
      if (!settled || now.equals(read)) {
        return;
      }
      Identity next = Identity.read(keys, site);
      read = now; // Only now: what could not be used may be in a moment, and looks the same then.
      told = "";
      Log.info("gateway", "new certificate, valid until " + next.until().toInstant());
      taken.accept(next);
    } catch (Identity.UnusableFileException e) {
      if (!told.equals(e.getMessage())) {
        told = String.valueOf(e.getMessage());
        Log.warn("gateway", "certificate left as it was: " + told);
      }
    } catch (RuntimeException e) {
      Log.error("gateway", "certificate left as it was", e); // Thrown on, it would end the polls.
    }
  }

  @Override
  public void close() {
    poller.shutdownNow();
  }
}
