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

/** Raft library settings for the log of one instance and for its clients: timeouts and sizes. */
final class LogSettings {
  /**
   * Bounds of the randomized election timeout. Both are well above a garbage collection pause and a
   * write to a busy disk, yet low enough for a new leader within two seconds.
   */
  private static final long MIN_ELECTION_TIMEOUT_MILLIS = 350;

  private static final long MAX_ELECTION_TIMEOUT_MILLIS = 650;

  /** Also how long a client waits for the answer to one attempt. */
  private static final long REQUEST_TIMEOUT_MILLIS = 700;

  /**
   * Log segments cached in memory, as far as {@link #CACHE_BYTES} allows. Each new leader begins a
   * segment. Closing a log while the library evicts its oldest segment deadlocks: the closing
   * thread holds the log's lock and waits for a thread that waits for that lock.
   */
  private static final int MAX_CACHED_SEGMENTS = 64;

  /**
   * Entries in one append message to a peer that lags. It has to append them and answer within the
   * request timeout: with 4 MB in one message a slow machine answered too late, and the leader sent
   * the same message again and again.
   */
  private static final int MAX_APPEND_ENTRIES = 64;

  /** Entries between two snapshots; the log before the latest one is purged. */
  private static final long SNAPSHOT_ENTRIES = 20_000;

  private static final int RETAINED_SNAPSHOTS = 2;
  private static final SizeInBytes SEGMENT_BYTES = SizeInBytes.valueOf("4MB");
  private static final SizeInBytes PREALLOCATED_BYTES = SizeInBytes.valueOf("64KB");
  private static final SizeInBytes CACHE_BYTES = SizeInBytes.valueOf("8MB");
  private static final SizeInBytes MAX_APPEND_BYTES = SizeInBytes.valueOf("4MB");

  private LogSettings() {}

  /**
   * Settings of the Raft server of an instance.
   *
   * @param listen where peers reach it
   * @param folder its storage directory, shared with no other instance
   */
  static RaftProperties server(InetSocketAddress listen, Path folder) {
    RaftProperties properties = new RaftProperties();
    RaftConfigKeys.Rpc.setType(properties, SupportedRpcType.GRPC);
    GrpcConfigKeys.Server.setHost(properties, listen.getAddress().getHostAddress());
    GrpcConfigKeys.Server.setPort(properties, listen.getPort());
    RaftServerConfigKeys.setStorageDir(properties, List.of(folder.toFile()));
    setTimeouts(properties);
    setSizes(properties);
    RaftServerConfigKeys.Snapshot.setAutoTriggerEnabled(properties, true);
    RaftServerConfigKeys.Snapshot.setAutoTriggerThreshold(properties, SNAPSHOT_ENTRIES);
    RaftServerConfigKeys.Snapshot.setRetentionFileNum(properties, RETAINED_SNAPSHOTS);
    return properties;
  }

  /** Settings of a client that submits entries. */
  static RaftProperties client() {
    RaftProperties properties = new RaftProperties();
    RaftConfigKeys.Rpc.setType(properties, SupportedRpcType.GRPC);
    RaftClientConfigKeys.Rpc.setRequestTimeout(properties, millis(REQUEST_TIMEOUT_MILLIS));
    return properties;
  }

  private static void setTimeouts(RaftProperties properties) {
    RaftServerConfigKeys.Rpc.setTimeoutMin(properties, millis(MIN_ELECTION_TIMEOUT_MILLIS));
    RaftServerConfigKeys.Rpc.setTimeoutMax(properties, millis(MAX_ELECTION_TIMEOUT_MILLIS));
    RaftServerConfigKeys.Rpc.setRequestTimeout(properties, millis(REQUEST_TIMEOUT_MILLIS));
  }

  private static void setSizes(RaftProperties properties) {
    RaftServerConfigKeys.Log.setSegmentSizeMax(properties, SEGMENT_BYTES);
    RaftServerConfigKeys.Log.setPreallocatedSize(properties, PREALLOCATED_BYTES);
    RaftServerConfigKeys.Log.setSegmentCacheNumMax(properties, MAX_CACHED_SEGMENTS);
    RaftServerConfigKeys.Log.setSegmentCacheSizeMax(properties, CACHE_BYTES);
    RaftServerConfigKeys.Log.setCorruptionPolicy(
        properties, RaftServerConfigKeys.Log.CorruptionPolicy.WARN_AND_RETURN);
    RaftServerConfigKeys.Log.setPurgeUptoSnapshotIndex(properties, true);
    RaftServerConfigKeys.Log.Appender.setBufferByteLimit(properties, MAX_APPEND_BYTES);
    RaftServerConfigKeys.Log.Appender.setBufferElementLimit(properties, MAX_APPEND_ENTRIES);
  }

  private static TimeDuration millis(long millis) {
    return TimeDuration.valueOf(millis, MILLISECONDS);
  }
}
