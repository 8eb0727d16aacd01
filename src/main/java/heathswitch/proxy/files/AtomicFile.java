package heathswitch.proxy.files;

import static java.nio.file.StandardCopyOption.ATOMIC_MOVE;
import static java.nio.file.StandardCopyOption.REPLACE_EXISTING;
import static java.nio.file.StandardOpenOption.CREATE;
import static java.nio.file.StandardOpenOption.READ;
import static java.nio.file.StandardOpenOption.TRUNCATE_EXISTING;
import static java.nio.file.StandardOpenOption.WRITE;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Replaces files atomically, so that a crash at any time leaves either the old or the new content:
 * a temporary file in the same folder is written, synced to disk (fsync) and renamed over the
 * target, then the folder is synced. Must not be called on the event loop.
 */
public final class AtomicFile {
  private AtomicFile() {}

  /** Returns the path of the temporary file; a leftover of a crash is overwritten. */
  static Path temporaryPath(Path path) {
    return path.resolveSibling("." + path.getFileName() + ".tmp");
  }

  /** Replaces the content. If writing the temporary file fails, the target is unchanged. */
  public static void write(Path path, byte[] content) throws IOException {
    Path temporary = temporaryPath(path);
    try (FileChannel file = FileChannel.open(temporary, CREATE, WRITE, TRUNCATE_EXISTING)) {
      ByteBuffer bytes = ByteBuffer.wrap(content);
      while (bytes.hasRemaining()) {
        file.write(bytes);
      }
      file.force(true);
    }
    Files.move(temporary, path, ATOMIC_MOVE, REPLACE_EXISTING);
    try (FileChannel folder = FileChannel.open(path.toAbsolutePath().getParent(), READ)) {
      folder.force(true);
    }
  }
}
