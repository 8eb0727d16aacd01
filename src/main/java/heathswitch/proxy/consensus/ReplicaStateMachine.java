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

/** Hands the log to a {@link Replica}, with the time of each entry by a {@link LogClock}. */
final class ReplicaStateMachine extends BaseStateMachine {
  private static final int HEADER_BYTES = 16;

  private final Replica replica;
  private final SimpleStateMachineStorage storage = new SimpleStateMachineStorage();
  private RaftGroupId group;

  /** Read by those who submit, moved on by the log's thread. */
  private final LogClock clock;

  /** The last entry that the replica has been handed, -1 for none. */
  private volatile long taken;

  private volatile boolean broken;

  /** Why nothing is taken any more, or empty. */
  private volatile String trouble = "";

  private final Runnable failed;

  /** With what is to be done, on any thread, when nothing can be written or taken any more. */
  ReplicaStateMachine(Replica replica, Runnable failed) {
    this(replica, failed, new LogClock(), -1);
  }

  private ReplicaStateMachine(Replica replica, Runnable failed, LogClock clock, long taken) {
    this.replica = replica;
    this.failed = failed;
    this.clock = clock;
    this.taken = taken;
  }

  /**
   * One for the same log opened anew, when this one has ended: it hands on what is not taken yet.
   */
  ReplicaStateMachine successor() {
    return new ReplicaStateMachine(replica, failed, clock, taken);
  }

  /** The last entry that the replica has been handed, or -1. */
  long taken() {
    return taken;
  }

  String failure() {
    return trouble;
  }

  void stop(String why, Throwable cause) {
    trouble = why + "; this instance takes no part until its next start";
    Log.error("agreement", trouble, cause, "reason", String.valueOf(cause));
    failed.run();
  }

  @Override
  public void initialize(RaftServer server, RaftGroupId id, RaftStorage folder) throws IOException {
    super.initialize(server, id, folder);
    group = id;
    storage.init(folder);
    load();
  }

  @Override
  public void reinitialize() throws IOException {
    storage.loadLatestSnapshot();
    load();
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

  private void load() throws IOException {
    SingleFileSnapshotInfo latest = storage.getLatestSnapshot();
    if (latest == null) {
      return;
    }
    if (latest.getIndex() > taken) {
      ByteBuffer saved = ByteBuffer.wrap(Files.readAllBytes(latest.getFile().getPath()));
      clock.restore(saved.getLong());
      byte[] rest = new byte[saved.remaining()];
      saved.get(rest);
      replica.restore(rest);
      taken = latest.getIndex();
    }
    setLastAppliedTermIndex(latest.getTermIndex());
  }

  @Override
  public long takeSnapshot() throws IOException {
    TermIndex last = getLastAppliedTermIndex();
    if (broken || last == null || last.getIndex() < 0 || last.getIndex() < taken) {
      return -1; // Nothing taken yet, or what is saved would be of a later entry.
    }
    byte[] saved = replica.toSnapshot();
    ByteBuffer bytes = ByteBuffer.allocate(Long.BYTES + saved.length);
    synchronized (clock) {
      bytes.putLong(clock.appliedMillis());
    }
    bytes.put(saved);
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
    stamp(header);
    return TransactionContext.newBuilder()
        .setStateMachine(this)
        .setClientRequest(request)
        .setLogData(ByteString.copyFrom(header.flip()).concat(entry))
        .build();
  }

  private void stamp(ByteBuffer header) throws IOException {
    long term = getServer().join().getDivision(group).getInfo().getCurrentTerm();
    synchronized (clock) {
      header.putLong(term).putLong(clock.read(term, System.nanoTime()));
    }
  }

  @Override
  public CompletableFuture<Message> applyTransaction(TransactionContext context) {
    var entry = context.getLogEntry();
    try {
      if (broken) {
        throw new IllegalStateException("the log has stopped on this instance");
      }
      if (entry.getIndex() <= taken) {
        updateLastAppliedTermIndex(entry.getTerm(), entry.getIndex());
        return CompletableFuture.completedFuture(Message.EMPTY);
      }
      ByteBuffer data = entry.getStateMachineLogEntry().getLogData().asReadOnlyByteBuffer();
      long term = data.getLong();
      long stamp = data.getLong();
      byte[] bytes = new byte[data.remaining()];
      data.get(bytes);
      long time;
      synchronized (clock) {
        time = clock.apply(entry.getTerm(), term, stamp);
      }
      byte[] answer = replica.apply(entry.getIndex(), time, bytes);
      taken = entry.getIndex();
      updateLastAppliedTermIndex(entry.getTerm(), entry.getIndex());
      return CompletableFuture.completedFuture(Message.valueOf(ByteString.copyFrom(answer)));
    } catch (RuntimeException e) {
      // What comes after it would be computed from another state than everybody else's.
      if (!broken) {
        broken = true;
        stop("entry " + entry.getIndex() + " could not be taken: " + e.getMessage(), e);
      }
      return CompletableFuture.failedFuture(e);
    }
  }

  @Override
  public void notifyLeaderChanged(RaftGroupMemberId here, RaftPeerId leader) {
    Log.info("agreement", leader + " leads");
  }

  @Override
  public void notifyLogFailed(
      Throwable cause, org.apache.ratis.proto.RaftProtos.LogEntryProto entry) {
    stop("the log could not be written: " + cause.getMessage(), cause);
  }
}
