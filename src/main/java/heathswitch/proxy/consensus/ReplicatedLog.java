package heathswitch.proxy.consensus;

import static java.util.concurrent.TimeUnit.MILLISECONDS;
import static java.util.concurrent.TimeUnit.SECONDS;

import heathswitch.proxy.runtime.Log;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Supplier;
import org.apache.ratis.client.RaftClient;
import org.apache.ratis.conf.Parameters;
import org.apache.ratis.conf.RaftProperties;
import org.apache.ratis.grpc.GrpcFactory;
import org.apache.ratis.proto.RaftProtos.RaftPeerRole;
import org.apache.ratis.protocol.ClientId;
import org.apache.ratis.protocol.Message;
import org.apache.ratis.protocol.RaftClientReply;
import org.apache.ratis.protocol.RaftGroup;
import org.apache.ratis.protocol.RaftGroupId;
import org.apache.ratis.protocol.RaftPeer;
import org.apache.ratis.protocol.RaftPeerId;
import org.apache.ratis.protocol.exceptions.LeaderSteppingDownException;
import org.apache.ratis.protocol.exceptions.RaftRetryFailureException;
import org.apache.ratis.retry.RetryPolicies;
import org.apache.ratis.server.RaftConfiguration;
import org.apache.ratis.server.RaftServer;
import org.apache.ratis.server.storage.RaftStorage;
import org.apache.ratis.thirdparty.com.google.protobuf.ByteString;
import org.apache.ratis.util.LifeCycle;
import org.apache.ratis.util.TimeDuration;

/**
 * This instance's replica of the log, a Raft server, together with the clients that submit entries
 * to it. Entries may be submitted from any thread and on any instance; no work is done on the event
 * loops that serve requests.
 */
public final class ReplicatedLog implements AutoCloseable {
  /** Maximum size of an entry; an order of ten thousand machines takes about half a megabyte. */
  public static final int MAX_ENTRY_BYTES = 2 << 20;

  /** Maximum number of queued entries of this instance; further ones are refused. */
  private static final int MAX_QUEUED = 1024;

  private static final String EVENT_LOOPS_PROPERTY =
      "org.apache.ratis.thirdparty.io.netty.eventLoopThreads";

  private static final int SUBMITTERS = 4;
  private static final int PRIORITY_SUBMITTERS = 2;

  private static final long TRANSFER_TIMEOUT_MILLIS = 2000;
  private static final int MAX_ATTEMPTS = 100;
  private static final long RETRY_DELAY_MILLIS = 50;

  /** Consecutive checks that must find a wrong role: a change of the voters takes several steps. */
  private static final int WRONG_ROLE_CHECKS = 3;

  /** Lease renewals of other instances arrive at least once a second. */
  private static final long STALL_TIMEOUT_MILLIS = 6000;

  /** Bound of the timeout, which doubles each time that it is reached. */
  private static final long MAX_STALL_TIMEOUT_MILLIS = 60_000;

  /** How long a change of the voters waits for a peer that is not ready yet. */
  private static final long VOTER_WAIT_MILLIS = 4000;

  /** A log that has not closed by then never will. */
  private static final long CLOSE_TIMEOUT_SECONDS = 10;

  /** The same Raft group id for every fleet: two fleets never share an address. */
  private static final RaftGroupId GROUP_ID =
      RaftGroupId.valueOf(UUID.fromString("6c1d2a04-7c0e-4c4b-9d53-2b8f5b7c9a11"));

  static {
    // The default is two event loops per core; traffic between instances needs far fewer.
    if (System.getProperty(EVENT_LOOPS_PROPERTY) == null) {
      System.setProperty(EVENT_LOOPS_PROPERTY, "2");
    }
  }

  private interface Task<T> {
    T run() throws IOException;
  }

  private final String self;
  private final List<RaftPeer> peers;
  private final RaftGroup group;
  private final RaftProperties properties;
  private final Parameters parameters = new Parameters();
  private final LogClients clients;

  /** This and the state machine are replaced when the log is reopened. */
  private volatile RaftServer server;

  private volatile ReplicaStateMachine stateMachine;
  private final AtomicBoolean reopening = new AtomicBoolean();
  private boolean closed;

  /** Consecutive checks in which the Raft role of this instance contradicted the configuration. */
  private int wrongRoleChecks;

  /** The last applied index that was seen, since when, and how long it may stay the same. */
  private long lastAppliedIndex;

  private long advancedNanos = System.nanoTime();
  private long stallTimeoutMillis = STALL_TIMEOUT_MILLIS;

  private final ThreadPoolExecutor submitters;

  /**
   * For entries that keep this instance's session alive; they must not queue behind operators'
   * entries.
   */
  private final ThreadPoolExecutor prioritySubmitters;

  /**
   * Opens the log; {@link #start} must follow.
   *
   * @param self the name of this instance, one of the peers
   * @param listen where peers reach it
   * @param folder its storage directory, shared with no other instance; created if missing
   */
  public ReplicatedLog(
      String self, InetSocketAddress listen, List<Peer> peers, Path folder, Replica replica)
      throws IOException {
    Files.createDirectories(folder);
    stateMachine = new ReplicaStateMachine(replica, this::closeFailedServer);
    group = group(peers);
    this.self = self;
    this.peers = List.copyOf(group.getPeers());
    properties = LogSettings.server(listen, folder);
    server = newServer();
    clients = new LogClients(this::newClient);
    submitters = newExecutor(SUBMITTERS, "agreement-submit");
    prioritySubmitters = newExecutor(PRIORITY_SUBMITTERS, "agreement-own");
  }

  private RaftServer newServer() throws IOException {
    return RaftServer.newBuilder()
        .setServerId(RaftPeerId.valueOf(self))
        .setGroup(group)
        .setStateMachine(stateMachine)
        .setProperties(properties)
        .setParameters(parameters)
        .setOption(RaftStorage.StartupOption.RECOVER)
        .build();
  }

  private RaftClient newClient() {
    RaftProperties clientProperties = LogSettings.client();
    ClientId id = ClientId.randomId();
    return RaftClient.newBuilder()
        .setClientId(id)
        .setRaftGroup(group)
        .setProperties(clientProperties)
        .setClientRpc(new GrpcFactory(parameters).newRaftClientRpc(id, clientProperties))
        .setRetryPolicy(
            RetryPolicies.retryUpToMaximumCountWithFixedSleep(
                MAX_ATTEMPTS, millis(RETRY_DELAY_MILLIS)))
        .build();
  }

  private static ThreadPoolExecutor newExecutor(int count, String name) {
    ThreadPoolExecutor executor =
        new ThreadPoolExecutor(
            count,
            count,
            1,
            SECONDS,
            new ArrayBlockingQueue<>(MAX_QUEUED),
            task -> {
              Thread thread = new Thread(task, name);
              thread.setDaemon(true);
              return thread;
            });
    executor.allowCoreThreadTimeOut(true);
    return executor;
  }

  private static TimeDuration millis(long millis) {
    return TimeDuration.valueOf(millis, MILLISECONDS);
  }

  private static RaftGroup group(List<Peer> peers) {
    List<RaftPeer> all = new ArrayList<>();
    for (Peer peer : peers) {
      all.add(
          RaftPeer.newBuilder()
              .setId(peer.name())
              .setAddress(PeerNameResolver.register(peer))
              .setStartupRole(peer.votes() ? RaftPeerRole.FOLLOWER : RaftPeerRole.LISTENER)
              .build());
    }
    return RaftGroup.valueOf(GROUP_ID, all);
  }

  /** Starts the Raft server, so that this instance participates in the log. */
  public void start() throws IOException {
    server.start();
  }

  /** Like {@link #submit}, ahead of all entries that are submitted with that method here. */
  public CompletableFuture<byte[]> submitPriority(Supplier<byte[]> entry) {
    return runOn(prioritySubmitters, () -> send(entry.get()));
  }

  /**
   * Submits an entry to be committed and applied by all instances. After an error the entry may
   * have been committed nevertheless, so a caller that retries must make the entry idempotent.
   *
   * @param entry serializes the entry, on a thread of this class
   * @return the answer of the leader's replica
   */
  public CompletableFuture<byte[]> submit(Supplier<byte[]> entry) {
    return runOn(submitters, () -> send(entry.get()));
  }

  private static <T> CompletableFuture<T> runOn(ThreadPoolExecutor executor, Task<T> task) {
    CompletableFuture<T> answer = new CompletableFuture<>();
    try {
      executor.execute(
          () -> {
            try {
              answer.complete(task.run());
            } catch (IOException | RuntimeException e) {
              answer.completeExceptionally(e);
            }
          });
    } catch (RejectedExecutionException e) {
      answer.completeExceptionally(new IOException("too many entries are queued", e));
    }
    return answer;
  }

  private byte[] send(byte[] entry) throws IOException {
    if (entry.length > MAX_ENTRY_BYTES) {
      throw new IOException(
          "entry of " + entry.length + " bytes exceeds the maximum of " + MAX_ENTRY_BYTES);
    }
    for (int attempt = 1; ; attempt++) {
      IOException failure;
      try {
        Message message = Message.valueOf(ByteString.copyFrom(entry));
        RaftClientReply reply = clients.call(client -> client.io().send(message));
        if (reply.isSuccess()) {
          return reply.getMessage().getContent().toByteArray();
        }
        failure = reply.getException();
      } catch (LeaderSteppingDownException e) {
        failure = e;
      }
      // A leader that transfers its leadership rejects entries; the next leader will accept this.
      if (!(failure instanceof LeaderSteppingDownException) || attempt >= MAX_ATTEMPTS) {
        throw new IOException("entry not committed: " + failure, failure);
      }
      pause();
    }
  }

  /** The names of the voters, as far as this instance knows. */
  public List<String> voters() throws IOException {
    return server.getDivision(GROUP_ID).getRaftConf().getCurrentPeers().stream()
        .map(peer -> peer.getId().toString())
        .sorted()
        .toList();
  }

  /** Checks a change of the voters by what is known of the peers outside the Raft library. */
  public interface VoterChangeCheck {
    /**
     * Why these peers cannot be the voters yet, or empty if they can. Called repeatedly.
     *
     * @param addedVoter the one of them that is not a voter yet, or null
     */
    String obstacle(List<String> voters, String addedVoter);
  }

  /**
   * Makes a peer a voter, or a listener that does not vote. Only one peer is changed at a time, so
   * that any majority of the old voters and any majority of the new ones have a member in common.
   * Completes with the new voters once a majority has committed the change and an added voter has
   * the log and knows that it votes.
   *
   * <p>The waiting is for two observed traits of the library. It takes a peer that has not voted so
   * far for one that has the log, whether it runs or not: the others may then be one short of a
   * majority, the leader steps down, and it does not lead again for ten seconds. And an added voter
   * refuses its vote to candidates until it has reopened its log, see {@link #reopenIfStuck}.
   *
   * @param peer one of the configured peers
   */
  public CompletableFuture<List<String>> changeVoter(
      String peer, boolean votes, VoterChangeCheck voterChangeCheck) {
    return runOn(
        submitters,
        () -> {
          List<RaftPeer> voters = new ArrayList<>();
          List<RaftPeer> listeners = new ArrayList<>();
          List<String> before = voters();
          for (RaftPeer each : peers) {
            String name = each.getId().toString();
            boolean willVote = name.equals(peer) ? votes : before.contains(name);
            (willVote ? voters : listeners).add(each);
          }
          if (voters.isEmpty() || peers.stream().noneMatch(each -> is(each, peer))) {
            throw new IOException(
                voters.isEmpty()
                    ? "the last voter cannot be removed"
                    : "no peer " + peer + " is configured");
          }
          List<String> after =
              voters.stream().map(each -> each.getId().toString()).sorted().toList();
          boolean added = votes && !before.contains(peer);
          awaitNoObstacle(
              "voters not changed: ", () -> voterChangeCheck.obstacle(after, added ? peer : null));
          setConfiguration(voters, listeners);
          if (votes) {
            // A new client: a pooled one backs off for long from a peer that it has found dead.
            try (RaftClient newClient = newClient()) {
              awaitNoObstacle(
                  "voters changed, but repeat the request: ",
                  () -> notVotingReason(newClient, peer));
            }
          }
          return after;
        });
  }

  /**
   * Commits a change of the voters. An added voter reopens its log in the middle of the change; if
   * that takes long, as on a busy machine, and another voter is dead, the leader steps down for
   * lack of a majority, and there is no leader until the added voter is back.
   */
  private void setConfiguration(List<RaftPeer> voters, List<RaftPeer> listeners)
      throws IOException {
    RaftClientReply reply;
    try {
      reply = clients.call(client -> client.admin().setConfiguration(voters, listeners));
    } catch (RaftRetryFailureException e) {
      throw new IOException(
          "change of the voters not committed in time, repeat the request: there is no leader", e);
    }
    if (!reply.isSuccess()) {
      throw new IOException("voters not changed: " + reply.getException());
    }
  }

  /** Why an added voter does not vote yet, by its own account, or empty if it does. */
  private static String notVotingReason(RaftClient client, String peer) {
    try {
      RaftPeerRole role =
          client
              .getGroupManagementApi(RaftPeerId.valueOf(peer))
              .info(GROUP_ID)
              .getRoleInfoProto()
              .getRole();
      return role == RaftPeerRole.LISTENER ? peer + " does not vote yet" : "";
    } catch (IOException | RuntimeException e) { // Also while the peer reopens its log.
      return peer + " does not answer whether it votes: " + e.getMessage();
    }
  }

  /**
   * Reopens the log, keeping the applied state, in cases from which the library does not recover by
   * itself. To be called periodically, from one thread; returns at once.
   *
   * <ul>
   *   <li>The voters were changed and this instance has become a voter, or is none any more: the
   *       library assigns the role when it opens the log and does not change it afterwards. A peer
   *       that became a voter refused its vote to candidates for good, so that three voters of
   *       which one was dead had no leader.
   *   <li>There is a leader, but no entry has arrived for long, although every running instance
   *       submits one each second: on a machine that stalled while all instances started, the
   *       leader sent an instance the same entries for thirteen minutes, as each answer to an
   *       earlier attempt undid the next one.
   *   <li>The library has closed the log by itself: an instance that returns with an empty folder
   *       after others were made voters in its place takes itself for a voter; if it requests votes
   *       before it has learned of the change, as on a busy machine, the leader tells it to shut
   *       down.
   * </ul>
   */
  public void reopenIfStuck(long nowNanos) {
    boolean closedByLibrary = false;
    boolean wrongRole = false;
    boolean following = false;
    long appliedIndex = stateMachine.appliedIndex();
    try {
      RaftServer.Division division = server.getDivision(GROUP_ID);
      RaftConfiguration configuration = division.getRaftConf();
      RaftPeerRole role = division.getInfo().getCurrentRole();
      boolean votes = configuration.getCurrentPeers().stream().anyMatch(each -> is(each, self));
      LifeCycle.State state = division.getInfo().getLifeCycleState();
      boolean running = state == LifeCycle.State.RUNNING;
      closedByLibrary = state == LifeCycle.State.CLOSED;
      wrongRole =
          running
              && configuration.getPreviousPeers().isEmpty()
              && role == (votes ? RaftPeerRole.LISTENER : RaftPeerRole.FOLLOWER);
      following =
          running && role != RaftPeerRole.LEADER && division.getInfo().getLeaderId() != null;
    } catch (IOException e) {
      // The log is being closed or opened.
    }
    wrongRoleChecks = wrongRole ? wrongRoleChecks + 1 : 0;
    if (appliedIndex != lastAppliedIndex) {
      stallTimeoutMillis = STALL_TIMEOUT_MILLIS;
    }
    if (!following || appliedIndex != lastAppliedIndex) {
      lastAppliedIndex = appliedIndex;
      advancedNanos = nowNanos;
    }
    boolean stalled = nowNanos - advancedNanos > MILLISECONDS.toNanos(stallTimeoutMillis);
    if ((closedByLibrary || wrongRoleChecks >= WRONG_ROLE_CHECKS || stalled)
        && reopening.compareAndSet(false, true)) {
      // Back off: if no entries are submitted at all, reopening never helps.
      stallTimeoutMillis =
          stalled
              ? Math.min(MAX_STALL_TIMEOUT_MILLIS, 2 * stallTimeoutMillis)
              : STALL_TIMEOUT_MILLIS;
      wrongRoleChecks = 0;
      advancedNanos = nowNanos;
      String reason =
          closedByLibrary
              ? "closed by the library"
              : stalled ? "no entry received for too long" : "voters were changed";
      runInThread("agreement-open", () -> reopen(reason));
    }
  }

  private synchronized void reopen(String reason) {
    try {
      if (closed || !failure().isEmpty()) {
        return;
      }
      if (!closeWithinTimeout(server)) {
        String message = "the log could not be closed to reopen it";
        stateMachine.fail(
            message, new TimeoutException("not within " + CLOSE_TIMEOUT_SECONDS + " s"));
        return;
      }
      stateMachine = stateMachine.successor();
      server = newServer();
      server.start();
      Log.info("agreement", "reopened: " + reason);
    } catch (IOException | RuntimeException e) {
      stateMachine.fail("the log could not be reopened: " + e.getMessage(), e);
    } finally {
      reopening.set(false);
    }
  }

  private boolean closeWithinTimeout(RaftServer closing) throws IOException {
    CompletableFuture<Void> closed = new CompletableFuture<>();
    runInThread(
        "agreement-close",
        () -> {
          try {
            closing.close();
            closed.complete(null);
          } catch (IOException | RuntimeException e) {
            closed.completeExceptionally(e);
          }
        });
    try {
      closed.get(CLOSE_TIMEOUT_SECONDS, SECONDS);
      return true;
    } catch (TimeoutException e) {
      return false;
    } catch (ExecutionException e) {
      throw new IOException(e.getCause());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException("ending", e);
    }
  }

  private static void awaitNoObstacle(String prefix, Supplier<String> obstacle) throws IOException {
    for (long waitedMillis = 0; ; waitedMillis += RETRY_DELAY_MILLIS) {
      String reason = obstacle.get();
      if (reason.isEmpty()) {
        return;
      }
      if (waitedMillis >= VOTER_WAIT_MILLIS) {
        throw new IOException(prefix + reason);
      }
      pause();
    }
  }

  private static void pause() throws IOException {
    try {
      Thread.sleep(RETRY_DELAY_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException("ending", e);
    }
  }

  /** Transfers leadership to another voter; completes with its name. */
  public CompletableFuture<String> transferLeadership() {
    return runOn(
        prioritySubmitters,
        () -> {
          IOException lastFailure = new IOException("there is no other voter");
          for (String name : voters()) {
            if (!name.equals(self)) {
              try {
                RaftPeerId next = RaftPeerId.valueOf(name);
                RaftClientReply reply =
                    clients.call(
                        client -> client.admin().transferLeadership(next, TRANSFER_TIMEOUT_MILLIS));
                if (reply.isSuccess()) {
                  return name;
                }
                lastFailure =
                    new IOException(
                        name + " does not take over leadership: " + reply.getException());
              } catch (IOException e) {
                lastFailure = e;
              }
            }
          }
          throw lastFailure;
        });
  }

  private static boolean is(RaftPeer peer, String name) {
    return peer.getId().toString().equals(name);
  }

  /** Why this instance's log has stopped for good, or empty. */
  public String failure() {
    return stateMachine.failure();
  }

  /**
   * Closes the Raft server after its log has failed: if it went on answering peers, the leader
   * would send it the same entries again and again. The clients stay open, so that this instance
   * can still submit that its session has ended.
   */
  private void closeFailedServer() {
    runInThread(
        "agreement-end",
        () -> {
          try {
            server.close();
          } catch (IOException e) {
            Log.warn("agreement", "end: " + e);
          }
        });
  }

  private static void runInThread(String name, Runnable task) {
    Thread thread = new Thread(task, name);
    thread.setDaemon(true);
    thread.start();
  }

  /** The name of the leader as far as this instance knows, or empty. */
  public String leader() {
    try {
      RaftPeerId leader = server.getDivision(GROUP_ID).getInfo().getLeaderId();
      return leader == null ? "" : leader.toString();
    } catch (IOException e) {
      return "";
    }
  }

  /** Stops submitting entries and closes the Raft server. */
  @Override
  public synchronized void close() {
    closed = true;
    submitters.shutdownNow();
    prioritySubmitters.shutdownNow();
    for (AutoCloseable each : List.of(clients, server)) {
      try {
        each.close();
      } catch (Exception e) {
        Log.warn("agreement", "end: " + e);
      }
    }
  }
}
