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
  private static final String PREFIX = "process-";

  /** One that has said nothing for so long has ended. */
  static final long SILENT_NANOS = 2_000_000_000L;

  /** What another process said last, and when this one saw that for the first time. */
  private record Sign(FileTime written, long seenNanos, int held) {}

  private final Path folder;
  private final int number;

  /** The newest sign of each other process that has a file here. */
  private final Map<Integer, Sign> signs = new HashMap<>();

  /** Follows on whatever the folder shows; null for no folder. */
  public ProcessGeneration(Path folder) {
    this.folder = folder;
    this.number = highest() + 1;
  }

  /** Whether another process served before this one and may still do so. */
  public boolean follows() {
    return number > 1;
  }

  /** Whether another process has begun to serve after this one. */
  public boolean followed() {
    return highest() > number;
  }

  /** This process serves, and holds so many descriptors; to be said again and again. */
  public void serving(int held) {
    if (folder != null) {
      try {
        Files.createDirectories(folder);
        Files.writeString(folder.resolve(PREFIX + number), Integer.toString(held));
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
  public int heldElsewhere(long nowNanos) {
    int held = 0;
    Map<Integer, Path> processes = processes();
    signs.keySet().retainAll(processes.keySet());
    for (Map.Entry<Integer, Path> other : processes.entrySet()) {
      if (other.getKey() != number) {
        held += held(other.getKey(), other.getValue(), nowNanos);
      }
    }
    return held;
  }

  private int held(int other, Path file, long nowNanos) {
    Sign sign = signs.get(other);
    try {
      FileTime written = Files.getLastModifiedTime(file);
      String said = Files.readString(file); // Empty while it is being written.
      boolean news = sign == null || !sign.written().equals(written);
      int before = sign == null ? 0 : sign.held();
      int held = said.matches("[0-9]{1,7}") ? Integer.parseInt(said) : before;
      sign = new Sign(written, news ? nowNanos : sign.seenNanos(), held);
      signs.put(other, sign);
    } catch (IOException e) {
      Log.warn("upgrade", "what another process holds cannot be read: " + e);
    }
    boolean lives = sign != null && nowNanos - sign.seenNanos() < SILENT_NANOS;
    return lives ? sign.held() : 0;
  }

  private int highest() {
    return processes().keySet().stream().mapToInt(Integer::intValue).max().orElse(0);
  }

  /** All that have served, by their numbers. */
  private Map<Integer, Path> processes() {
    Map<Integer, Path> processes = new HashMap<>();
    if (folder != null) {
      try (DirectoryStream<Path> files = Files.newDirectoryStream(folder, PREFIX + "*")) {
        for (Path file : files) {
          String digits = file.getFileName().toString().substring(PREFIX.length());
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
