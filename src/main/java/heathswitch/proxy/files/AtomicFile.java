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
 * Replaces a file so that a crash at any moment leaves the old content or the new: a temporary file
 * beside it is written and forced to disk, renamed over it, and the folder forced too. Must not be
 * called on the event loop.
 */
public final class AtomicFile {
  private AtomicFile() {}

  /** The temporary file's name; one that was left behind is written over. */
  static Path temporary(Path path) {
    return path.resolveSibling("." + path.getFileName() + ".tmp");
  }

  /** Replaces the content; if this fails, the file is as it was. */
  public static void write(Path path, byte[] content) throws IOException {
    Path temporary = temporary(path);
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
