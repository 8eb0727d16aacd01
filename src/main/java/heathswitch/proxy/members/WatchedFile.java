package heathswitch.proxy.members;

import heathswitch.proxy.config.Fault;
import heathswitch.proxy.files.BoundedFile;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;

/**
 * One file, looked at again and again. It is read once it has stayed as it is for a while, and
 * while its last change is so fresh that another within the same tick of the file system's clock
 * would not show in its stamp, it is read at every look. Not for the event loop.
 */
final class WatchedFile {
  /** The coarsest time stamps of common file systems (FAT) are this far apart. */
  static final long TICK_MILLIS = 2000;

  /** How a file's stamp is had. */
  interface Stamper {
    BoundedFile.Stamp of(Path path) throws IOException;
  }

  private final Path path;
  private final int mostBytes;
  private final Stamper stamper;
  private BoundedFile.Stamp stamp;
  private long changedMillis;
  private String digest;
  private MembersFormat.Parsed parsed;
  private String trouble;
  private boolean fresh;

  WatchedFile(Path path, int mostBytes) {
    this(path, mostBytes, BoundedFile::stamp);
  }

  WatchedFile(Path path, int mostBytes, Stamper stamper) {
    this.path = path;
    this.mostBytes = mostBytes;
    this.stamper = stamper;
  }

  Path path() {
    return path;
  }

  /** Looks at the file; true if what it holds can be relied on now. */
  boolean look(long nowMillis, long settleMillis) {
    try {
      BoundedFile.Stamp now = stamper.of(path);
      trouble = null;
      if (!now.equals(stamp)) {
        stamp = now;
        changedMillis = nowMillis;
        fresh = true;
        digest = null;
      }
      if (nowMillis - changedMillis < settleMillis) {
        return false;
      }
      return !fresh || read(nowMillis, settleMillis);
    } catch (IOException e) {
      stamp = null;
      digest = null;
      parsed = null;
      trouble = String.valueOf(e.getMessage());
      return true;
    }
  }

  private boolean read(long nowMillis, long settleMillis) throws IOException {
    byte[] bytes = BoundedFile.read(path, mostBytes);
    if (!stamper.of(path).equals(stamp)) {
      return false; // It changed while it was read; the next look begins anew.
    }
    String before = digest;
    digest = Sha256.hex(bytes, 0, bytes.length);
    if (before != null && !before.equals(digest)) {
      changedMillis = nowMillis; // Another write under the same stamp.
      parsed = null;
      return settleMillis == 0 && parse(bytes);
    }
    fresh = nowMillis - stamp.newestMillis() < TICK_MILLIS;
    return parsed != null && before != null || parse(bytes);
  }

  private boolean parse(byte[] bytes) {
    parsed = MembersFormat.parse(path.getFileName().toString(), bytes);
    return true;
  }

  /** What the file holds, as far as it could be read at the last look. */
  List<Fault> faults() {
    return trouble != null
        ? List.of(new Fault(path.getFileName().toString(), 0, 0, "", trouble))
        : parsed.faults();
  }

  MembersFormat.Parsed parsed() {
    return parsed;
  }

  /** Tells one content, or trouble, from another. */
  String mark() {
    return trouble != null ? trouble : digest;
  }
}
