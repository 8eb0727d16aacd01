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
 * The number of this process among those that have served this balancer, one after the other, since
 * its folder was last empty. Without a folder there is none before and none after.
 */
public final class ProcessGeneration {
  private static final String FILE_PREFIX = "process-";

  /** One that has said nothing for so long has ended. */
  static final long HEARTBEAT_TIMEOUT_NANOS = 2_000_000_000L;

  /** What another process said last, and when this one saw that for the first time. */
  private record Heartbeat(FileTime modified, long firstSeenNanos, int heldDescriptors) {}

  private final Path folder;
  private final int number;

  /** The newest sign of each other process that has a file here. */
  private final Map<Integer, Heartbeat> heartbeats = new HashMap<>();

  /** Follows on whatever the folder shows; null for no folder. */
  public ProcessGeneration(Path folder) {
    this.folder = folder;
    this.number = highestNumber() + 1;
  }

  /** Whether another process served before this one and may still do so. */
  public boolean hasPredecessor() {
    return number > 1;
  }

  /** Whether another process has begun to serve after this one. */
  public boolean hasSuccessor() {
    return highestNumber() > number;
  }

  /** This process serves, and holds so many descriptors; to be said again and again. */
  public void writeHeartbeat(int heldDescriptors) {
    if (folder != null) {
      try {
        Files.createDirectories(folder);
        Files.writeString(folder.resolve(FILE_PREFIX + number), Integer.toString(heldDescriptors));
      } catch (IOException e) {
        Log.warn("upgrade", "another process will not know of this one: " + e);
      }
    }
  }

  /**
   * Descriptors that other processes of this balancer hold, as far as they have said. Whether one
   * still lives is judged by when its file was seen to change: the times of files are of a clock
   * that may be set.
   *
   * @param nowNanos of a clock that cannot be set
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
      FileTime written = Files.getLastModifiedTime(file);
      String text = Files.readString(file); // Empty while it is being written.
      boolean updated = heartbeat == null || !heartbeat.modified().equals(written);
      int lastHeld = heartbeat == null ? 0 : heartbeat.heldDescriptors();
      int held = text.matches("[0-9]{1,7}") ? Integer.parseInt(text) : lastHeld;
      heartbeat = new Heartbeat(written, updated ? nowNanos : heartbeat.firstSeenNanos(), held);
      heartbeats.put(other, heartbeat);
    } catch (IOException e) {
      Log.warn("upgrade", "what another process holds cannot be read: " + e);
    }
    boolean alive =
        heartbeat != null && nowNanos - heartbeat.firstSeenNanos() < HEARTBEAT_TIMEOUT_NANOS;
    return alive ? heartbeat.heldDescriptors() : 0;
  }

  private int highestNumber() {
    return processes().keySet().stream().mapToInt(Integer::intValue).max().orElse(0);
  }

  /** All that have served, by their numbers. */
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
        return processes; // Nobody has served yet.
      } catch (IOException | DirectoryIteratorException e) {
        Log.warn("upgrade", "whether there is another process is not known: " + e);
      }
    }
    return processes;
  }
}
