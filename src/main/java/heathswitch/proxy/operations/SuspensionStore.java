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
 * Stores which upstreams operators have suspended, one file per upstream, in a folder shared by all
 * processes of a balancer. Without a folder the suspensions are kept in memory only. Used by a
 * single thread, which is not the event loop.
 */
final class SuspensionStore {
  private static final int MAX_FILE_BYTES = 1024;

  private final Path folder;
  private Map<String, Suspension> suspensions = new HashMap<>();

  /** Uses the folder, which is created if it does not exist; null for none. */
  SuspensionStore(Path folder) {
    this.folder = folder;
  }

  /** Reads the current suspensions, including those written by another process. */
  Map<String, Suspension> read(long nowMillis) {
    if (folder != null) {
      Map<String, Suspension> current = new HashMap<>();
      try (DirectoryStream<Path> files = Files.newDirectoryStream(folder, "u-*")) {
        for (Path file : files) {
          Suspension suspension =
              current.size() < Rotation.MAX_SUSPENSIONS ? readFile(file, nowMillis) : null;
          if (suspension != null) {
            current.put(suspension.id(), suspension);
          }
        }
        suspensions = current;
      } catch (NoSuchFileException e) {
        suspensions = current;
      } catch (IOException | RuntimeException e) {
        Log.warn("marks", "suspensions could not be read, the previous ones stay in force: " + e);
      }
    }
    removeObsolete(nowMillis);
    return Map.copyOf(suspensions);
  }

  /** Returns null for an invalid or deleted file, and the fallback if reading fails. */
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
      return fallback(file, nowMillis);
    }
  }

  /** What was last read from the file or, if it was never read, that its upstream is suspended. */
  private Suspension fallback(Path file, long nowMillis) {
    try {
      byte[] bytes = Base64.getUrlDecoder().decode(file.getFileName().toString().substring(2));
      String id = new String(bytes, UTF_8);
      Suspension lastRead = suspensions.get(id);
      return lastRead != null ? lastRead : Suspension.suspend(null, id, nowMillis);
    } catch (IllegalArgumentException e) {
      return null; // Not a file written by this class.
    }
  }

  private void removeObsolete(long nowMillis) {
    for (Suspension suspension : Map.copyOf(suspensions).values()) {
      if (suspension.isObsolete(nowMillis)) {
        suspensions.remove(suspension.id());
        if (folder != null) {
          try {
            Files.deleteIfExists(file(suspension.id()));
          } catch (IOException e) {
            Log.warn("marks", "file of an obsolete suspension could not be deleted: " + e);
          }
        }
      }
    }
  }

  /** Suspends an upstream; all processes of the balancer can see it when this returns. */
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

  private void write(Suspension suspension) throws IOException {
    if (folder != null) {
      Files.createDirectories(folder);
      String text =
          suspension.suspendedMillis()
              + "\n"
              + suspension.resumedMillis()
              + "\n"
              + suspension.id()
              + "\n";
      AtomicFile.write(file(suspension.id()), text.getBytes(UTF_8));
    }
    suspensions.put(suspension.id(), suspension);
  }

  /** The id is encoded because it may contain characters that a file name may not. */
  private Path file(String id) {
    byte[] bytes = id.getBytes(UTF_8);
    return folder.resolve("u-" + Base64.getUrlEncoder().withoutPadding().encodeToString(bytes));
  }
}
