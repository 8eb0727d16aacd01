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
 * Stores the marks of operators, one file per marked upstream, in a folder that is shared by all
 * processes of a balancer. Without a folder the marks are kept in memory only. Used by a single
 * thread, which is not the event loop.
 */
final class MarkStore {
  private static final int MAX_FILE_BYTES = 1024;

  private final Path folder;
  private Map<String, Suspension> marks = new HashMap<>();

  /** Uses the folder, which is created if it does not exist; null for none. */
  MarkStore(Path folder) {
    this.folder = folder;
  }

  /** Reads the current marks, including those of the other process during an upgrade. */
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
        Log.warn("marks", "marks could not be read and stay as they were: " + e);
      }
    }
    removeSettled(nowMillis);
    return Map.copyOf(marks);
  }

  /** Returns null for an invalid file, and the fallback for one that cannot be read now. */
  private Suspension readFile(Path file, long nowMillis) {
    try {
      if (Files.size(file) > MAX_FILE_BYTES) {
        throw new IllegalArgumentException("too long");
      }
      String[] lines = Files.readString(file).split("\n");
      return new Suspension(lines[2], Long.parseLong(lines[0]), Long.parseLong(lines[1]));
    } catch (NoSuchFileException e) {
      return null; // Deleted by the other process in the meantime.
    } catch (CharacterCodingException | RuntimeException e) {
      Log.warn("marks", file.getFileName() + " is ignored: " + e);
      return null;
    } catch (IOException e) {
      Log.warn("marks", file.getFileName() + " cannot be read: " + e);
      return fallbackMark(file, nowMillis);
    }
  }

  /** The mark that was read last or, without one, a mark that suspends the upstream. */
  private Suspension fallbackMark(Path file, long nowMillis) {
    try {
      byte[] bytes = Base64.getUrlDecoder().decode(file.getFileName().toString().substring(2));
      String id = new String(bytes, UTF_8);
      Suspension lastRead = marks.get(id);
      return lastRead != null ? lastRead : Suspension.suspend(null, id, nowMillis);
    } catch (IllegalArgumentException e) {
      return null; // Not the name of a file of marks.
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
            Log.warn("marks", "file of a settled mark could not be deleted: " + e);
          }
        }
      }
    }
  }

  /** Suspends an upstream; when this returns, all processes of the balancer can see the mark. */
  void suspend(String id, long nowMillis) throws IOException {
    Map<String, Suspension> current = read(nowMillis);
    if (current.size() >= Rotation.MAX_SUSPENSIONS && !current.containsKey(id)) {
      throw new IOException("more than " + Rotation.MAX_SUSPENSIONS + " upstreams are suspended");
    }
    write(Suspension.suspend(current.get(id), id, nowMillis));
  }

  /** Resumes an upstream if it is suspended. */
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

  /** The id is encoded because it may contain characters that a file name may not. */
  private Path file(String id) {
    byte[] bytes = id.getBytes(UTF_8);
    return folder.resolve("u-" + Base64.getUrlEncoder().withoutPadding().encodeToString(bytes));
  }
}
