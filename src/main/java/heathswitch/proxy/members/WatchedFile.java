package heathswitch.proxy.members;

import heathswitch.proxy.config.ValidationError;
import heathswitch.proxy.files.BoundedFile;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;

/**
 * A file that is polled for changes. It is read once it has been unchanged for the settle time. If
 * its last change is so recent that another write within the same tick of the file system's clock
 * would leave the stamp as it is, the content is read at every poll. Must not be used on the event
 * loop.
 */
final class WatchedFile {
  /** The coarsest timestamp granularity of common file systems, that of FAT. */
  static final long MAX_TICK_MILLIS = 2000;

  /** Reads the stamp of a file. */
  interface StampReader {
    BoundedFile.Stamp read(Path path) throws IOException;
  }

  private final Path path;
  private final int maxBytes;
  private final StampReader stampReader;
  private BoundedFile.Stamp stamp;
  private long changedMillis;
  private String digest;
  private MembersFormat.Parsed parsed;
  private String error;

  /** Whether the file must be read, even if its stamp is unchanged. */
  private boolean readNeeded;

  WatchedFile(Path path, int maxBytes) {
    this(path, maxBytes, BoundedFile::stamp);
  }

  WatchedFile(Path path, int maxBytes, StampReader stampReader) {
    this.path = path;
    this.maxBytes = maxBytes;
    this.stampReader = stampReader;
  }

  Path path() {
    return path;
  }

  /** Polls the file; returns whether it has settled, so that its content or error can be used. */
  boolean poll(long nowMillis, long settleMillis) {
    try {
      BoundedFile.Stamp now = stampReader.read(path);
      error = null;
      if (!now.equals(stamp)) {
        stamp = now;
        changedMillis = nowMillis;
        readNeeded = true;
        digest = null;
      }
      if (nowMillis - changedMillis < settleMillis) {
        return false;
      }
      return !readNeeded || read(nowMillis, settleMillis);
    } catch (IOException e) {
      stamp = null;
      digest = null;
      parsed = null;
      error = String.valueOf(e.getMessage());
      return true;
    }
  }

  private boolean read(long nowMillis, long settleMillis) throws IOException {
    byte[] bytes = BoundedFile.read(path, maxBytes);
    if (!stampReader.read(path).equals(stamp)) {
      return false; // It changed while being read; the next poll sees the new stamp.
    }
    String before = digest;
    digest = Sha256.hex(bytes, 0, bytes.length);
    if (before != null && !before.equals(digest)) {
      changedMillis = nowMillis; // Another write left the stamp unchanged.
      parsed = null;
      return settleMillis == 0 && parse(bytes);
    }
    readNeeded = nowMillis - stamp.newestMillis() < MAX_TICK_MILLIS;
    return parsed != null && before != null || parse(bytes);
  }

  private boolean parse(byte[] bytes) {
    parsed = MembersFormat.parse(path.getFileName().toString(), bytes);
    return true;
  }

  /** The faults found at the last poll; valid only if the file has settled. */
  List<ValidationError> faults() {
    return error != null
        ? List.of(new ValidationError(path.getFileName().toString(), 0, 0, "", error))
        : parsed.faults();
  }

  MembersFormat.Parsed parsed() {
    return parsed;
  }

  /** Identifies the content, or the error if the file could not be read. */
  String fingerprint() {
    return error != null ? error : digest;
  }
}
