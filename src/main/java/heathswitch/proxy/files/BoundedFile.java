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
 * Reads files written by other programs: at most a given number of bytes, and only regular files.
 * Must not be called on the event loop.
 */
public final class BoundedFile {
  /**
   * File metadata that reveals a change without reading the content. Two writes within one tick of
   * the file system's clock may result in equal stamps.
   *
   * @param modified the time of the last change of the content
   * @param changed the time of the last change of content or metadata (ctime)
   * @param size the size in bytes
   * @param key identifies the file on its file system, or null if that is not supported
   */
  public record Stamp(FileTime modified, FileTime changed, long size, Object key) {
    /** Returns the later of the two times, in Unix milliseconds. */
    public long newestMillis() {
      return Math.max(modified.toMillis(), changed.toMillis());
    }
  }

  private BoundedFile() {}

  /** Returns the stamp of a file, following links; fails if it is not a readable regular file. */
  public static Stamp stamp(Path path) throws IOException {
    try {
      BasicFileAttributes attributes = Files.readAttributes(path, BasicFileAttributes.class);
      if (attributes.isDirectory()) {
        throw new UnusableFileException("is a folder; a file is expected");
      }
      // Reading a device may never end, and opening a pipe may block.
      if (!attributes.isRegularFile()) {
        throw new UnusableFileException("is a device or a pipe; a file is expected");
      }
      FileTime modified = attributes.lastModifiedTime();
      return new Stamp(
          modified, changeTime(path, modified), attributes.size(), attributes.fileKey());
    } catch (NoSuchFileException e) {
      throw new UnusableFileException("is not there");
    } catch (AccessDeniedException e) {
      throw new UnusableFileException("may not be read");
    }
  }

  /**
   * Returns the ctime, since the modification time can be set back by anyone who may write the
   * file.
   */
  private static FileTime changeTime(Path path, FileTime modified) throws IOException {
    try {
      return (FileTime) Files.getAttribute(path, "unix:ctime");
    } catch (UnsupportedOperationException | IllegalArgumentException e) {
      return modified; // The file system does not support ctime.
    }
  }

  /** Reads the whole content; fails if it is longer than the limit. */
  public static byte[] read(Path path, int maxBytes) throws IOException {
    if (stamp(path).size() > maxBytes) {
      throw tooLarge(maxBytes);
    }
    try (InputStream in = Files.newInputStream(path)) {
      byte[] bytes = in.readNBytes(maxBytes + 1);
      if (bytes.length > maxBytes) {
        throw tooLarge(maxBytes); // The file grew after the size check.
      }
      return bytes;
    } catch (NoSuchFileException e) {
      throw new UnusableFileException("is not there");
    } catch (AccessDeniedException e) {
      throw new UnusableFileException("may not be read");
    }
  }

  private static UnusableFileException tooLarge(int maxBytes) {
    return new UnusableFileException("has over " + maxBytes + " bytes; no more are read");
  }

  /** Decodes UTF-8; fails if the bytes are malformed. */
  public static String decodeUtf8(byte[] bytes) throws UnusableFileException {
    try {
      return StandardCharsets.UTF_8
          .newDecoder()
          .onMalformedInput(CodingErrorAction.REPORT)
          .decode(ByteBuffer.wrap(bytes))
          .toString();
    } catch (CharacterCodingException e) {
      throw new UnusableFileException("is no text in UTF-8");
    }
  }
}
