package heathswitch.proxy.operations;

import heathswitch.proxy.runtime.Log;
import java.io.IOException;
import java.nio.file.DirectoryIteratorException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.util.HashMap;
import java.util.Map;

/**
 * The sequence number of this process among the processes that have served this balancer since its
 * folder was last empty. During an upgrade it tells a process whether it has a predecessor or a
 * successor. Each process periodically writes a file as its heartbeat. Without a folder there are
 * no other processes.
 */
public final class ProcessGeneration {
  private static final String FILE_PREFIX = "process-";

  /** A process without a heartbeat for this long has ended. */
  static final long HEARTBEAT_TIMEOUT_NANOS = 2_000_000_000L;

  /** The last heartbeat of another process, and when this process first saw it. */
  private record Heartbeat(FileTime modified, long firstSeenNanos, int heldDescriptors) {}

  private final Path folder;
  private final int number;

  /** The newest heartbeat of each other process that has a file, by its number. */
  private final Map<Integer, Heartbeat> heartbeats = new HashMap<>();

  /** Takes the next number after those in the folder; null for no folder. */
  public ProcessGeneration(Path folder) {
    this.folder = folder;
    this.number = highestNumber() + 1;
  }

  /** Whether another process served before this one and may still be serving. */
  public boolean hasPredecessor() {
    return number > 1;
  }

  /** Whether another process has started to serve after this one. */
  public boolean hasSuccessor() {
    return highestNumber() > number;
  }

  /** Reports that this process serves and how many descriptors it holds; called periodically. */
  public void writeHeartbeat(int heldDescriptors) {
    if (folder != null) {
      try {
        Files.createDirectories(folder);
        Files.writeString(folder.resolve(FILE_PREFIX + number), Integer.toString(heldDescriptors));
      } catch (IOException e) {
        Log.warn(
            "upgrade",
            "heartbeat could not be written, other processes will not see this one: " + e);
      }
    }
  }

  /**
   * The number of descriptors held by other live processes of this balancer, according to their
   * heartbeats. Whether a process is alive is judged by when its file was last seen to change,
   * because file times come from the system clock, which may be changed.
   *
   * @param nowNanos time of a monotonic clock
   */
  public int descriptorsHeldByOthers(long nowNanos) {
    int held = 0;
    Map<Integer, Path> processes = processes();
    heartbeats.keySet().retainAll(processes.keySet());
    for (Map.Entry<Integer, Path> other : processes.entrySet()) {
      if (other.getKey() != number) {
        held += readHeldDescriptors(other.getKey(), other.getValue(), nowNanos);
      }
    }
    return held;
  }

  private int readHeldDescriptors(int other, Path file, long nowNanos) {
    Heartbeat heartbeat = heartbeats.get(other);
    try {
      FileTime modified = Files.getLastModifiedTime(file);
      String text = Files.readString(file); // Empty if it is just being written.
      boolean updated = heartbeat == null || !heartbeat.modified().equals(modified);
      int lastHeld = heartbeat == null ? 0 : heartbeat.heldDescriptors();
      int held = text.matches("[0-9]{1,7}") ? Integer.parseInt(text) : lastHeld;
      heartbeat = new Heartbeat(modified, updated ? nowNanos : heartbeat.firstSeenNanos(), held);
      heartbeats.put(other, heartbeat);
    } catch (IOException e) {
      Log.warn("upgrade", "heartbeat of another process could not be read: " + e);
    }
    boolean alive =
        heartbeat != null && nowNanos - heartbeat.firstSeenNanos() < HEARTBEAT_TIMEOUT_NANOS;
    return alive ? heartbeat.heldDescriptors() : 0;
  }

  private int highestNumber() {
    return processes().keySet().stream().mapToInt(Integer::intValue).max().orElse(0);
  }

  /** The files of all processes that have served, by their numbers. */
  private Map<Integer, Path> processes() {
    Map<Integer, Path> processes = new HashMap<>();
    if (folder != null) {
      try (DirectoryStream<Path> files = Files.newDirectoryStream(folder, FILE_PREFIX + "*")) {
        for (Path file : files) {
          String digits = file.getFileName().toString().substring(FILE_PREFIX.length());
          if (digits.matches("[0-9]{1,8}")) {
            processes.put(Integer.parseInt(digits), file);
          }
        }
      } catch (NoSuchFileException e) {
        return processes; // No process has served yet.
      } catch (IOException | DirectoryIteratorException e) {
        Log.warn("upgrade", "folder of the processes could not be read: " + e);
      }
    }
    return processes;
  }
}
