package heathswitch.proxy.dispatch;

import java.io.IOException;
import java.lang.invoke.MethodHandles;
import java.lang.invoke.VarHandle;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.concurrent.TimeUnit;

/**
 * The ids of requests that may have had an effect, for some time after they were sent, so that an
 * id does not take effect twice. All processes of one balancer can share the table through a
 * memory-mapped file. Ids are kept as 64-bit hashes, in buckets of a few entries each; where a
 * bucket is full, its oldest entry is replaced.
 *
 * <p>Two processes that claim one id at the same time may both be denied, but never both granted:
 * each writes its entry first and then looks for the other's.
 */
public final class UsedRequestIds {
  /** How long an id is kept. */
  static final long RETENTION_NANOS = TimeUnit.SECONDS.toNanos(60);

  private static final int BUCKETS = 2048;
  private static final int ENTRIES_PER_BUCKET = 8;
  private static final int ENTRY_BYTES = 2 * Long.BYTES;
  private static final int TOTAL_BYTES = BUCKETS * ENTRIES_PER_BUCKET * ENTRY_BYTES;
  private static final VarHandle LONGS =
      MethodHandles.byteBufferViewVarHandle(long[].class, ByteOrder.nativeOrder());

  /** Entries of a hash, 0 for none, and the time of the claim on the system's monotonic clock. */
  private final ByteBuffer entries;

  private UsedRequestIds(ByteBuffer entries) {
    this.entries = entries;
  }

  /** Creates a table that no other process shares. */
  public static UsedRequestIds unshared() {
    return new UsedRequestIds(ByteBuffer.allocateDirect(TOTAL_BYTES));
  }

  /** Opens the table in a file, which is created if there is none. */
  public static UsedRequestIds shared(Path file) throws IOException {
    Files.createDirectories(file.getParent());
    try (FileChannel channel =
        FileChannel.open(
            file, StandardOpenOption.CREATE, StandardOpenOption.READ, StandardOpenOption.WRITE)) {
      if (channel.size() < TOTAL_BYTES) {
        // Written in full: a page that the file system has no room for could not be used later.
        channel.write(ByteBuffer.allocate(TOTAL_BYTES - (int) channel.size()), channel.size());
      }
      return new UsedRequestIds(channel.map(FileChannel.MapMode.READ_WRITE, 0, TOTAL_BYTES));
    }
  }

  /** Whether an id has been claimed and not released. */
  public boolean contains(String id) {
    return find(hash(id), -1, System.nanoTime()) >= 0;
  }

  /** Claims an id before its first attempt; false if it has been claimed before. */
  boolean claim(String id) {
    long hash = hash(id);
    long now = System.nanoTime();
    if (find(hash, -1, now) >= 0) {
      return false;
    }
    int entry = freeEntry(hash, now);
    LONGS.setVolatile(entries, entry + Long.BYTES, now);
    LONGS.setVolatile(entries, entry, hash);
    if (find(hash, entry, now) >= 0) {
      LONGS.setVolatile(entries, entry, 0L);
      return false;
    }
    return true;
  }

  /** Releases an id whose request cannot have had an effect. */
  void release(String id) {
    int entry = find(hash(id), -1, System.nanoTime());
    if (entry >= 0) {
      LONGS.setVolatile(entries, entry, 0L);
    }
  }

  private static long hash(String id) {
    long hash = 0x9e3779b97f4a7c15L;
    for (int i = 0; i < id.length(); i++) {
      hash = (hash ^ id.charAt(i)) * 0xbf58476d1ce4e5b9L;
      hash ^= hash >>> 31;
    }
    return hash == 0 ? 1 : hash;
  }

  private static int bucketOffset(long hash) {
    return (int) (hash >>> 32 & BUCKETS - 1) * ENTRIES_PER_BUCKET * ENTRY_BYTES;
  }

  /** The offset of a valid entry other than the given one, or -1. */
  private int find(long hash, int except, long now) {
    int offset = bucketOffset(hash);
    for (int i = 0; i < ENTRIES_PER_BUCKET; i++, offset += ENTRY_BYTES) {
      if (offset != except && (long) LONGS.getVolatile(entries, offset) == hash) {
        if (ageNanos(offset, now) < RETENTION_NANOS) {
          return offset;
        }
      }
    }
    return -1;
  }

  /** The offset of an empty entry or else of the oldest one. */
  private int freeEntry(long hash, long now) {
    int offset = bucketOffset(hash);
    int oldest = offset;
    for (int i = 0; i < ENTRIES_PER_BUCKET; i++, offset += ENTRY_BYTES) {
      if ((long) LONGS.getVolatile(entries, offset) == 0) {
        return offset;
      }
      if (ageNanos(offset, now) > ageNanos(oldest, now)) {
        oldest = offset;
      }
    }
    return oldest;
  }

  /** The clock starts anew with the machine, so a time in the future is old. */
  private long ageNanos(int offset, long now) {
    long age = now - (long) LONGS.getVolatile(entries, offset + Long.BYTES);
    return age < -RETENTION_NANOS ? Long.MAX_VALUE : age;
  }
}
