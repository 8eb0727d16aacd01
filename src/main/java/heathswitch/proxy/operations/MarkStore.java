package heathswitch.proxy.operations;

import static java.nio.charset.StandardCharsets.UTF_8;

import heathswitch.policy.rotation.Rotation;
import heathswitch.policy.rotation.Suspension;
import heathswitch.proxy.files.AtomicFile;
import heathswitch.proxy.runtime.Log;
import java.io.IOException;
import java.nio.charset.CharacterCodingException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.Base64;
import java.util.HashMap;
import java.util.Map;

/**
 * The marks of operators, a file for each, in a folder that all processes of one balancer share.
 * Without a folder they are kept in memory alone. Used by one thread, never the loop's.
 */
final class MarkStore {
  private static final int MAX_FILE_BYTES = 1024;

  private final Path folder;
  private Map<String, Suspension> marks = new HashMap<>();

  /** Uses the folder, which is made if it is not there; null for none. */
  MarkStore(Path folder) {
    this.folder = folder;
  }

  /** What stands now, in the folder of both processes. */
  Map<String, Suspension> read(long nowMillis) {
    if (folder != null) {
      Map<String, Suspension> current = new HashMap<>();
      try (DirectoryStream<Path> files = Files.newDirectoryStream(folder, "u-*")) {
        for (Path file : files) {
          Suspension mark =
              current.size() < Rotation.MAX_SUSPENSIONS ? readFile(file, nowMillis) : null;
          if (mark != null) {
            current.put(mark.id(), mark);
          }
        }
        marks = current;
      } catch (NoSuchFileException e) {
        marks = current;
      } catch (IOException | RuntimeException e) {
        Log.warn("marks", "left as they were: " + e);
      }
    }
    removeSettled(nowMillis);
    return Map.copyOf(marks);
  }

  /** A file that cannot be read now says what it said before, or that its upstream is out. */
  private Suspension readFile(Path file, long nowMillis) {
    try {
      if (Files.size(file) > MAX_FILE_BYTES) {
        throw new IllegalArgumentException("too long");
      }
      String[] lines = Files.readString(file).split("\n");
      return new Suspension(lines[2], Long.parseLong(lines[0]), Long.parseLong(lines[1]));
    } catch (NoSuchFileException e) {
      return null; // The other process has just taken it away.
    } catch (CharacterCodingException | RuntimeException e) {
      Log.warn("marks", file.getFileName() + " is not used: " + e);
      return null;
    } catch (IOException e) {
      Log.warn("marks", file.getFileName() + " cannot be read: " + e);
      return fallbackMark(file, nowMillis);
    }
  }

  private Suspension fallbackMark(Path file, long nowMillis) {
    try {
      byte[] bytes = Base64.getUrlDecoder().decode(file.getFileName().toString().substring(2));
      String id = new String(bytes, UTF_8);
      Suspension lastRead = marks.get(id);
      return lastRead != null ? lastRead : Suspension.suspend(null, id, nowMillis);
    } catch (IllegalArgumentException e) {
      return null; // Its name is none of ours.
    }
  }

  private void removeSettled(long nowMillis) {
    for (Suspension mark : Map.copyOf(marks).values()) {
      if (mark.isObsolete(nowMillis)) {
        marks.remove(mark.id());
        if (folder != null) {
          try {
            Files.deleteIfExists(file(mark.id()));
          } catch (IOException e) {
            Log.warn("marks", "a settled one stays: " + e);
          }
        }
      }
    }
  }

  /** Takes an upstream out; returns only once every process of the balancer will know. */
  void suspend(String id, long nowMillis) throws IOException {
    Map<String, Suspension> current = read(nowMillis);
    if (current.size() >= Rotation.MAX_SUSPENSIONS && !current.containsKey(id)) {
      throw new IOException("more than " + Rotation.MAX_SUSPENSIONS + " are out");
    }
    write(Suspension.suspend(current.get(id), id, nowMillis));
  }

  /** Puts an upstream back that may be out. */
  void resume(String id, long nowMillis) throws IOException {
    Suspension resumed = Suspension.resume(read(nowMillis).get(id), nowMillis);
    if (resumed != null) {
      write(resumed);
    }
  }

  private void write(Suspension mark) throws IOException {
    if (folder != null) {
      Files.createDirectories(folder);
      String text = mark.suspendedMillis() + "\n" + mark.resumedMillis() + "\n" + mark.id() + "\n";
      AtomicFile.write(file(mark.id()), text.getBytes(UTF_8));
    }
    marks.put(mark.id(), mark);
  }

  /** Ids come from discovery and may hold anything; a name of a file may not. */
  private Path file(String id) {
    byte[] bytes = id.getBytes(UTF_8);
    return folder.resolve("u-" + Base64.getUrlEncoder().withoutPadding().encodeToString(bytes));
  }
}
