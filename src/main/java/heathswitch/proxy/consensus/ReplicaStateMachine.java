package heathswitch.proxy.consensus;

import heathswitch.policy.maintenance.LogClock;
import heathswitch.proxy.files.AtomicFile;
import heathswitch.proxy.runtime.Log;
import java.io.File;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.util.concurrent.CompletableFuture;
import org.apache.ratis.io.MD5Hash;
import org.apache.ratis.protocol.Message;
import org.apache.ratis.protocol.RaftClientRequest;
import org.apache.ratis.protocol.RaftGroupId;
import org.apache.ratis.protocol.RaftGroupMemberId;
import org.apache.ratis.protocol.RaftPeerId;
import org.apache.ratis.server.RaftServer;
import org.apache.ratis.server.protocol.TermIndex;
import org.apache.ratis.server.storage.FileInfo;
import org.apache.ratis.server.storage.RaftStorage;
import org.apache.ratis.statemachine.StateMachineStorage;
import org.apache.ratis.statemachine.TransactionContext;
import org.apache.ratis.statemachine.impl.BaseStateMachine;
import org.apache.ratis.statemachine.impl.SimpleStateMachineStorage;
import org.apache.ratis.statemachine.impl.SingleFileSnapshotInfo;
import org.apache.ratis.thirdparty.com.google.protobuf.ByteString;
import org.apache.ratis.util.LifeCycle;
import org.apache.ratis.util.MD5FileUtil;

/**
 * The Ratis state machine that applies log entries to a {@link Replica}, with the time of each
 * entry by a {@link LogClock}. It stamps each entry with the leader's term and clock reading.
 */
final class ReplicaStateMachine extends BaseStateMachine {
  private static final int HEADER_BYTES = 16;

  private final Replica replica;
  private final SimpleStateMachineStorage storage = new SimpleStateMachineStorage();
  private RaftGroupId group;

  /** Read when an entry is submitted, advanced by the log's thread. */
  private final LogClock clock;

  /** Index of the last entry that was applied to the replica, -1 for none. */
  private volatile long appliedIndex;

  /** Whether an entry could not be applied. */
  private volatile boolean applyFailed;

  /** Why no entry is applied any more, or empty. */
  private volatile String failure = "";

  private final Runnable onFailure;

  /**
   * Creates a state machine that has applied nothing yet.
   *
   * @param onFailure called, on any thread, once entries can no longer be written or applied
   */
  ReplicaStateMachine(Replica replica, Runnable onFailure) {
    this(replica, onFailure, new LogClock(), -1);
  }

  private ReplicaStateMachine(
      Replica replica, Runnable onFailure, LogClock clock, long appliedIndex) {
    this.replica = replica;
    this.onFailure = onFailure;
    this.clock = clock;
    this.appliedIndex = appliedIndex;
  }

  /**
   * A state machine for the same log when it is reopened after this one was closed: it continues
   * with the first entry that is not applied yet.
   */
  ReplicaStateMachine successor() {
    return new ReplicaStateMachine(replica, onFailure, clock, appliedIndex);
  }

  /** Index of the last entry that was applied to the replica, or -1. */
  long appliedIndex() {
    return appliedIndex;
  }

  /** Why this instance's log has stopped for good, or empty. */
  String failure() {
    return failure;
  }

  /** Records and logs the failure, then notifies the owner. */
  void fail(String reason, Throwable cause) {
    failure = reason + "; this instance does not participate until it is restarted";
    Log.error("agreement", failure, cause, "reason", String.valueOf(cause));
    onFailure.run();
  }

  @Override
  public void initialize(RaftServer server, RaftGroupId id, RaftStorage raftStorage)
      throws IOException {
    super.initialize(server, id, raftStorage);
    group = id;
    storage.init(raftStorage);
    restoreLatestSnapshot();
  }

  @Override
  public void reinitialize() throws IOException {
    storage.loadLatestSnapshot();
    restoreLatestSnapshot();
    if (getLifeCycleState() == LifeCycle.State.PAUSED) {
      getLifeCycle().transition(LifeCycle.State.STARTING);
      getLifeCycle().transition(LifeCycle.State.RUNNING);
    }
  }

  @Override
  public void pause() {
    if (getLifeCycleState() == LifeCycle.State.RUNNING) {
      getLifeCycle().transition(LifeCycle.State.PAUSING);
      getLifeCycle().transition(LifeCycle.State.PAUSED);
    }
  }

  @Override
  public StateMachineStorage getStateMachineStorage() {
    return storage;
  }

  private void restoreLatestSnapshot() throws IOException {
    SingleFileSnapshotInfo latest = storage.getLatestSnapshot();
    if (latest == null) {
      return;
    }
    if (latest.getIndex() > appliedIndex) {
      ByteBuffer file = ByteBuffer.wrap(Files.readAllBytes(latest.getFile().getPath()));
      clock.restore(file.getLong());
      byte[] snapshot = new byte[file.remaining()];
      file.get(snapshot);
      replica.restore(snapshot);
      appliedIndex = latest.getIndex();
    }
    setLastAppliedTermIndex(latest.getTermIndex());
  }

  @Override
  public long takeSnapshot() throws IOException {
    TermIndex last = getLastAppliedTermIndex();
    if (applyFailed || last == null || last.getIndex() < 0 || last.getIndex() < appliedIndex) {
      return -1; // Nothing applied yet, or the replica is ahead of the index to save.
    }
    byte[] snapshot = replica.toSnapshot();
    ByteBuffer bytes = ByteBuffer.allocate(Long.BYTES + snapshot.length);
    synchronized (clock) {
      bytes.putLong(clock.appliedMillis());
    }
    bytes.put(snapshot);
    File file = storage.getSnapshotFile(last.getTerm(), last.getIndex());
    AtomicFile.write(file.toPath(), bytes.array());
    MD5Hash digest = MD5FileUtil.computeAndSaveMd5ForFile(file);
    storage.updateLatestSnapshot(
        new SingleFileSnapshotInfo(new FileInfo(file.toPath(), digest), last));
    return last.getIndex();
  }

  @Override
  public TransactionContext startTransaction(RaftClientRequest request) throws IOException {
    ByteString entry = request.getMessage().getContent();
    ByteBuffer header = ByteBuffer.allocate(HEADER_BYTES);
    writeHeader(header);
    return TransactionContext.newBuilder()
        .setStateMachine(this)
        .setClientRequest(request)
        .setLogData(ByteString.copyFrom(header.flip()).concat(entry))
        .build();
  }

  private void writeHeader(ByteBuffer header) throws IOException {
    long term = getServer().join().getDivision(group).getInfo().getCurrentTerm();
    synchronized (clock) {
      header.putLong(term).putLong(clock.read(term, System.nanoTime()));
    }
  }

  @Override
  public CompletableFuture<Message> applyTransaction(TransactionContext context) {
    var entry = context.getLogEntry();
    try {
      if (applyFailed) {
        throw new IllegalStateException("the log has stopped on this instance");
      }
      if (entry.getIndex() <= appliedIndex) {
        updateLastAppliedTermIndex(entry.getTerm(), entry.getIndex());
        return CompletableFuture.completedFuture(Message.EMPTY);
      }
      ByteBuffer data = entry.getStateMachineLogEntry().getLogData().asReadOnlyByteBuffer();
      long readTerm = data.getLong();
      long readMillis = data.getLong();
      byte[] bytes = new byte[data.remaining()];
      data.get(bytes);
      long stampMillis;
      synchronized (clock) {
        stampMillis = clock.apply(entry.getTerm(), readTerm, readMillis);
      }
      byte[] answer = replica.apply(entry.getIndex(), stampMillis, bytes);
      appliedIndex = entry.getIndex();
      updateLastAppliedTermIndex(entry.getTerm(), entry.getIndex());
      return CompletableFuture.completedFuture(Message.valueOf(ByteString.copyFrom(answer)));
    } catch (RuntimeException e) {
      // Later entries would be applied to a state that differs from the other instances'.
      if (!applyFailed) {
        applyFailed = true;
        fail("entry " + entry.getIndex() + " could not be applied: " + e.getMessage(), e);
      }
      return CompletableFuture.failedFuture(e);
    }
  }

  @Override
  public void notifyLeaderChanged(RaftGroupMemberId self, RaftPeerId leader) {
    Log.info("agreement", leader + " leads");
  }

  @Override
  public void notifyLogFailed(
      Throwable cause, org.apache.ratis.proto.RaftProtos.LogEntryProto entry) {
    fail("the log could not be written: " + cause.getMessage(), cause);
  }
}
