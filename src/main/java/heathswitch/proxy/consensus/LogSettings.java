package heathswitch.proxy.consensus;

import static java.util.concurrent.TimeUnit.MILLISECONDS;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import org.apache.ratis.RaftConfigKeys;
import org.apache.ratis.client.RaftClientConfigKeys;
import org.apache.ratis.conf.RaftProperties;
import org.apache.ratis.grpc.GrpcConfigKeys;
import org.apache.ratis.rpc.SupportedRpcType;
import org.apache.ratis.server.RaftServerConfigKeys;
import org.apache.ratis.util.SizeInBytes;
import org.apache.ratis.util.TimeDuration;

/** The library's settings for the log of one instance and for its clients: times and sizes. */
final class LogSettings {
  /**
   * Whoever led counts as lost after a time between these, drawn anew each time; both well above a
   * collection of garbage and a busy disk, and so that a new one leads within two seconds.
   */
  private static final long ELECTION_FROM_MILLIS = 350;

  private static final long ELECTION_TO_MILLIS = 650;

  /** Also how long a client waits for the answer to one try. */
  private static final long REQUEST_MILLIS = 700;

  /**
   * Files of the log that are kept in memory, within its bytes. Each new leader begins one, and a
   * log that is closed in the moment in which the library lets go of the oldest never ends: it
   * holds the log's lock and waits for a thread that waits for that lock.
   */
  private static final int MOST_CACHED = 64;

  /**
   * Entries in one message to an instance that lacks many. It has to take them and answer before
   * the request's time is up: of 4 MB in one message a slow machine answered too late, and whoever
   * led began anew with the same, again and again.
   */
  private static final int MOST_SENT = 64;

  /** Entries between two snapshots; the log before the last one is not kept. */
  private static final long SNAPSHOT_ENTRIES = 20_000;

  private static final int SNAPSHOTS_KEPT = 2;
  private static final SizeInBytes FILE_BYTES = SizeInBytes.valueOf("4MB");
  private static final SizeInBytes FIRST_FILE_BYTES = SizeInBytes.valueOf("64KB");
  private static final SizeInBytes CACHED_BYTES = SizeInBytes.valueOf("8MB");
  private static final SizeInBytes MESSAGE_BYTES = SizeInBytes.valueOf("4MB");

  private LogSettings() {}

  /**
   * Of an instance that takes part.
   *
   * @param listen where others reach it
   * @param folder of this instance alone
   */
  static RaftProperties server(InetSocketAddress listen, Path folder) {
    RaftProperties settings = new RaftProperties();
    RaftConfigKeys.Rpc.setType(settings, SupportedRpcType.GRPC);
    GrpcConfigKeys.Server.setHost(settings, listen.getAddress().getHostAddress());
    GrpcConfigKeys.Server.setPort(settings, listen.getPort());
    RaftServerConfigKeys.setStorageDir(settings, List.of(folder.toFile()));
    setTimes(settings);
    setSizes(settings);
    RaftServerConfigKeys.Snapshot.setAutoTriggerEnabled(settings, true);
    RaftServerConfigKeys.Snapshot.setAutoTriggerThreshold(settings, SNAPSHOT_ENTRIES);
    RaftServerConfigKeys.Snapshot.setRetentionFileNum(settings, SNAPSHOTS_KEPT);
    return settings;
  }

  /** Of one that asks for entries. */
  static RaftProperties client() {
    RaftProperties settings = new RaftProperties();
    RaftConfigKeys.Rpc.setType(settings, SupportedRpcType.GRPC);
    RaftClientConfigKeys.Rpc.setRequestTimeout(settings, millis(REQUEST_MILLIS));
    return settings;
  }

  private static void setTimes(RaftProperties settings) {
    RaftServerConfigKeys.Rpc.setTimeoutMin(settings, millis(ELECTION_FROM_MILLIS));
    RaftServerConfigKeys.Rpc.setTimeoutMax(settings, millis(ELECTION_TO_MILLIS));
    RaftServerConfigKeys.Rpc.setRequestTimeout(settings, millis(REQUEST_MILLIS));
  }

  private static void setSizes(RaftProperties settings) {
    RaftServerConfigKeys.Log.setSegmentSizeMax(settings, FILE_BYTES);
    RaftServerConfigKeys.Log.setPreallocatedSize(settings, FIRST_FILE_BYTES);
    RaftServerConfigKeys.Log.setSegmentCacheNumMax(settings, MOST_CACHED);
    RaftServerConfigKeys.Log.setSegmentCacheSizeMax(settings, CACHED_BYTES);
    RaftServerConfigKeys.Log.setCorruptionPolicy(
        settings, RaftServerConfigKeys.Log.CorruptionPolicy.WARN_AND_RETURN);
    RaftServerConfigKeys.Log.setPurgeUptoSnapshotIndex(settings, true);
    RaftServerConfigKeys.Log.Appender.setBufferByteLimit(settings, MESSAGE_BYTES);
    RaftServerConfigKeys.Log.Appender.setBufferElementLimit(settings, MOST_SENT);
  }

  private static TimeDuration millis(long millis) {
    return TimeDuration.valueOf(millis, MILLISECONDS);
  }
}
