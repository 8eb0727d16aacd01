package heathswitch.proxy.files;

import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.CodingErrorAction;
import java.nio.charset.StandardCharsets;
import java.nio.file.AccessDeniedException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;
import java.nio.file.attribute.FileTime;

/**
 * Reads files that others write: never more than a stated size, never a folder or a device. Must
 * not be called on the event loop.
 */
public final class BoundedFile {
  /**
   * What tells one state of a file from another without reading it. Two writes within one tick of
   * the file system's clock may leave it as it was.
   */
  public record Stamp(FileTime modified, FileTime changed, long size, Object key) {
    /** The later of its times, in Unix milliseconds. */
    public long newestMillis() {
      return Math.max(modified.toMillis(), changed.toMillis());
    }
  }

  private BoundedFile() {}

  /** The file's stamp, links followed; a fault if it is not there or not a file. */
  public static Stamp stamp(Path path) throws IOException {
    try {
      BasicFileAttributes attributes = Files.readAttributes(path, BasicFileAttributes.class);
      if (attributes.isDirectory()) {
        throw new FileFault("is a folder; a file is expected");
      }
      // A device may never end and a pipe may block whoever opens it.
      if (!attributes.isRegularFile()) {
        throw new FileFault("is a device or a pipe; a file is expected");
      }
      FileTime modified = attributes.lastModifiedTime();
      return new Stamp(modified, changed(path, modified), attributes.size(), attributes.fileKey());
    } catch (NoSuchFileException e) {
      throw new FileFault("is not there");
    } catch (AccessDeniedException e) {
      throw new FileFault("may not be read");
    }
  }

  /** When the file was last changed in any way; its time of writing can be set back by anyone. */
  private static FileTime changed(Path path, FileTime modified) throws IOException {
    try {
      return (FileTime) Files.getAttribute(path, "unix:ctime");
    } catch (UnsupportedOperationException | IllegalArgumentException e) {
      return modified; // Not every system has it.
    }
  }

  /** The whole content, if it has at most so many bytes. */
  public static byte[] read(Path path, int mostBytes) throws IOException {
    if (stamp(path).size() > mostBytes) {
      throw tooLong(mostBytes);
    }
    try (InputStream in = Files.newInputStream(path)) {
      byte[] bytes = in.readNBytes(mostBytes + 1);
      if (bytes.length > mostBytes) {
        throw tooLong(mostBytes); // It grew since it was looked at.
      }
      return bytes;
    } catch (NoSuchFileException e) {
      throw new FileFault("is not there");
    } catch (AccessDeniedException e) {
      throw new FileFault("may not be read");
    }
  }

  private static FileFault tooLong(int mostBytes) {
    return new FileFault("has over " + mostBytes + " bytes; no more are read");
  }

  /** The bytes as text; a fault where they are no UTF-8. */
  public static String text(byte[] bytes) throws FileFault {
    try {
      return StandardCharsets.UTF_8
          .newDecoder()
          .onMalformedInput(CodingErrorAction.REPORT)
          .decode(ByteBuffer.wrap(bytes))
          .toString();
    } catch (CharacterCodingException e) {
      throw new FileFault("is no text in UTF-8");
    }
  }
}
