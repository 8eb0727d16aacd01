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
 * This instance's part of the log. Entries may be submitted from any thread, at any instance; none
 * of it runs on an event loop that serves requests.
 */
public final class ReplicatedLog implements AutoCloseable {
  /** Greatest size of an entry; an order of ten thousand machines has about half a megabyte. */
  public static final int MAX_ENTRY_BYTES = 2 << 20;

  /** Entries of this instance that wait for their answer; one more is refused. */
  private static final int MOST_WAITING = 1024;

  private static final String LOOPS = "org.apache.ratis.thirdparty.io.netty.eventLoopThreads";

  private static final int SUBMITTERS = 4;
  private static final int OWN_SUBMITTERS = 2;

  private static final long TRANSFER_TIMEOUT_MILLIS = 2000;
  private static final int TRIES = 100;
  private static final long BETWEEN_TRIES_MILLIS = 50;

  /** So often a role has to be wrong: a change of those that vote takes some steps. */
  private static final int LOOKS_WRONG = 3;

  /** Renewals of others come each second at least. */
  private static final long STILL_MILLIS = 6000;

  private static final long MOST_STILL_MILLIS = 60_000;

  /** A change of those that vote waits so long for whoever is not there yet. */
  private static final long VOTE_MILLIS = 4000;

  /** A log that has not closed by then does not. */
  private static final long CLOSE_SECONDS = 10;

  /** All logs of one fleet have one name: two fleets never meet at one address. */
  private static final RaftGroupId GROUP =
      RaftGroupId.valueOf(UUID.fromString("6c1d2a04-7c0e-4c4b-9d53-2b8f5b7c9a11"));

  static {
    // Its event loops would be two for each core; what instances say to each other is little.
    if (System.getProperty(LOOPS) == null) {
      System.setProperty(LOOPS, "2");
    }
  }

  private interface Task<T> {
    T run() throws IOException;
  }

  private final String self;
  private final List<RaftPeer> peers;
  private final RaftGroup group;
  private final RaftProperties settings;
  private final Parameters parameters = new Parameters();
  private final LogClients clients;

  /** Both are replaced where the log is opened anew. */
  private volatile RaftServer server;

  private volatile ReplicaStateMachine machine;
  private final AtomicBoolean opening = new AtomicBoolean();
  private boolean closed;

  /** Looks in a row at which the library's role for this instance was not that of the log. */
  private int looksWrong;

  /** The last entry that was seen to be taken, since when, and how long that may go on. */
  private long lastTaken;

  private long movedNanos = System.nanoTime();
  private long stillMillis = STILL_MILLIS;

  private final ThreadPoolExecutor submitters;

  /** For what keeps this instance in: it must not wait behind what people ask for. */
  private final ThreadPoolExecutor own;

  /**
   * Opens the log; {@link #start} must follow.
   *
   * @param self the name of this instance, one of the peers
   * @param listen where others reach it
   * @param folder of this instance alone; made if it is not there
   */
  public ReplicatedLog(
      String self, InetSocketAddress listen, List<Peer> peers, Path folder, Replica replica)
      throws IOException {
    Files.createDirectories(folder);
    machine = new ReplicaStateMachine(replica, this::leaveOff);
    group = group(peers);
    this.self = self;
    this.peers = List.copyOf(group.getPeers());
    settings = LogSettings.server(listen, folder);
    server = open();
    clients = new LogClients(this::client);
    submitters = threads(SUBMITTERS, "agreement-submit");
    own = threads(OWN_SUBMITTERS, "agreement-own");
  }

  private RaftServer open() throws IOException {
    return RaftServer.newBuilder()
        .setServerId(RaftPeerId.valueOf(self))
        .setGroup(group)
        .setStateMachine(machine)
        .setProperties(settings)
        .setParameters(parameters)
        .setOption(RaftStorage.StartupOption.RECOVER)
        .build();
  }

  private RaftClient client() {
    RaftProperties asking = LogSettings.client();
    ClientId id = ClientId.randomId();
    return RaftClient.newBuilder()
        .setClientId(id)
        .setRaftGroup(group)
        .setProperties(asking)
        .setClientRpc(new GrpcFactory(parameters).newRaftClientRpc(id, asking))
        .setRetryPolicy(
            RetryPolicies.retryUpToMaximumCountWithFixedSleep(TRIES, millis(BETWEEN_TRIES_MILLIS)))
        .build();
  }

  private static ThreadPoolExecutor threads(int count, String name) {
    ThreadPoolExecutor threads =
        new ThreadPoolExecutor(
            count,
            count,
            1,
            SECONDS,
            new ArrayBlockingQueue<>(MOST_WAITING),
            task -> {
              Thread thread = new Thread(task, name);
              thread.setDaemon(true);
              return thread;
            });
    threads.allowCoreThreadTimeOut(true);
    return threads;
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
    return RaftGroup.valueOf(GROUP, all);
  }

  /** Takes part from now on. */
  public void start() throws IOException {
    server.start();
  }

  /** Likewise, before all that others submit here. */
  public CompletableFuture<byte[]> submitPriority(Supplier<byte[]> entry) {
    return on(own, () -> send(entry.get()));
  }

  /**
   * Has an entry taken by all. It may have been taken although the answer is an error: whoever
   * submits it again must make it the same entry.
   *
   * @param entry writes it, on a thread of this class
   */
  public CompletableFuture<byte[]> submit(Supplier<byte[]> entry) {
    return on(submitters, () -> send(entry.get()));
  }

  private static <T> CompletableFuture<T> on(ThreadPoolExecutor threads, Task<T> task) {
    CompletableFuture<T> answer = new CompletableFuture<>();
    try {
      threads.execute(
          () -> {
            try {
              answer.complete(task.run());
            } catch (IOException | RuntimeException e) {
              answer.completeExceptionally(e);
            }
          });
    } catch (RejectedExecutionException e) {
      answer.completeExceptionally(new IOException("too many entries wait", e));
    }
    return answer;
  }

  private byte[] send(byte[] entry) throws IOException {
    if (entry.length > MAX_ENTRY_BYTES) {
      throw new IOException("an entry of " + entry.length + " bytes; at most " + MAX_ENTRY_BYTES);
    }
    for (int tries = 1; ; tries++) {
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
      // Leadership is being handed on: the entry was not taken, and somebody else takes it soon.
      if (!(failure instanceof LeaderSteppingDownException) || tries >= TRIES) {
        throw new IOException("not taken: " + failure, failure);
      }
      pause();
    }
  }

  /** The names of those that vote, as far as this instance knows. */
  public List<String> voters() throws IOException {
    return server.getDivision(GROUP).getRaftConf().getCurrentPeers().stream()
        .map(peer -> peer.getId().toString())
        .sorted()
        .toList();
  }

  /** What is known of the peers beside the library, for a change of those that vote. */
  public interface VoterChangeCheck {
    /**
     * Why those that vote can't be these, one of whom is new or null; empty if they can. Asked
     * again and again.
     */
    String obstacle(List<String> voters, String addedVoter);
  }

  /**
   * Has a peer vote from now on, or no longer; one at a time, so that a majority of those before
   * and one of those after always have a member in common. Returns when a majority has settled it,
   * and whoever is to vote has the log and knows that it votes.
   *
   * <p>Two things of the library stand behind the waiting, both seen. It counts a peer that has not
   * voted so far as one that has the log, whether it runs or not: the others may then be one short,
   * and whoever led steps down and leads no more for ten seconds. And a peer refuses its vote to
   * others until it has opened its log anew, see {@link #reopenIfStuck}.
   *
   * @param peer one of the peers that the configuration names
   */
  public CompletableFuture<List<String>> changeVoter(
      String peer, boolean votes, VoterChangeCheck voterChangeCheck) {
    return on(
        submitters,
        () -> {
          List<RaftPeer> voting = new ArrayList<>();
          List<RaftPeer> other = new ArrayList<>();
          List<String> before = voters();
          for (RaftPeer each : peers) {
            String name = each.getId().toString();
            boolean now = name.equals(peer) ? votes : before.contains(name);
            (now ? voting : other).add(each);
          }
          if (voting.isEmpty() || peers.stream().noneMatch(each -> is(each, peer))) {
            throw new IOException(
                voting.isEmpty() ? "somebody must vote" : "no peer " + peer + " is configured");
          }
          List<String> after =
              voting.stream().map(each -> each.getId().toString()).sorted().toList();
          boolean joins = votes && !before.contains(peer);
          await("not changed: ", () -> voterChangeCheck.obstacle(after, joins ? peer : null));
          settle(voting, other);
          if (votes) {
            // One of its own: the other waits for long before it tries a peer again that was dead.
            try (RaftClient fresh = client()) {
              await("settled, but ask again: ", () -> refuses(fresh, peer));
            }
          }
          return after;
        });
  }

  /**
   * Has those that vote changed. A peer that comes to vote opens its log anew in the middle of it;
   * where that takes long, on a busy machine, and another voter is dead, whoever led steps down for
   * want of a majority, and nobody leads until the peer is back.
   */
  private void settle(List<RaftPeer> voting, List<RaftPeer> other) throws IOException {
    RaftClientReply reply;
    try {
      reply = clients.call(client -> client.admin().setConfiguration(voting, other));
    } catch (RaftRetryFailureException e) {
      throw new IOException("not settled in time, ask again: nobody leads", e);
    }
    if (!reply.isSuccess()) {
      throw new IOException("not changed: " + reply.getException());
    }
  }

  /** Why a peer that is to vote does not do so yet, by its own word, or an empty text. */
  private static String refuses(RaftClient by, String peer) {
    try {
      RaftPeerRole role =
          by.getGroupManagementApi(RaftPeerId.valueOf(peer))
              .info(GROUP)
              .getRoleInfoProto()
              .getRole();
      return role == RaftPeerRole.LISTENER ? peer + " refuses its vote yet" : "";
    } catch (IOException | RuntimeException e) { // The library's own, while it opens its log.
      return peer + " does not say whether it votes: " + e.getMessage();
    }
  }

  /**
   * Has the log opened anew, with what has been taken from it kept, where the library does not get
   * on by itself. To be called again and again, from one thread; returns at once.
   *
   * <p>Those that vote were changed and this instance is one of them now, or no longer: the library
   * gives it its part as it opens the log and leaves it so. One that came to vote refused its vote
   * to others for good, so that of three with one dead nobody led.
   *
   * <p>Somebody leads and nothing has come for long, while every instance that is there settles
   * something each second: on a machine that was held up while all began, whoever led sent an
   * instance the same entries for thirteen minutes, and each answer to an earlier try undid the
   * next.
   *
   * <p>The library has closed the log by itself: one that comes back with an empty folder, after
   * others vote in its place, holds itself for a voter, and where it asks for votes before it has
   * heard of the change, as on a busy machine, whoever leads tells it to end.
   */
  public void reopenIfStuck(long nowNanos) {
    boolean ended = false;
    boolean wrong = false;
    boolean led = false;
    long taken = machine.taken();
    try {
      RaftServer.Division division = server.getDivision(GROUP);
      RaftConfiguration settled = division.getRaftConf();
      RaftPeerRole role = division.getInfo().getCurrentRole();
      boolean votes = settled.getCurrentPeers().stream().anyMatch(each -> is(each, self));
      LifeCycle.State state = division.getInfo().getLifeCycleState();
      boolean running = state == LifeCycle.State.RUNNING;
      ended = state == LifeCycle.State.CLOSED;
      wrong =
          running
              && settled.getPreviousPeers().isEmpty()
              && role == (votes ? RaftPeerRole.LISTENER : RaftPeerRole.FOLLOWER);
      led = running && role != RaftPeerRole.LEADER && division.getInfo().getLeaderId() != null;
    } catch (IOException e) {
      // Ending, or being opened.
    }
    looksWrong = wrong ? looksWrong + 1 : 0;
    if (taken != lastTaken) {
      stillMillis = STILL_MILLIS;
    }
    if (!led || taken != lastTaken) {
      lastTaken = taken;
      movedNanos = nowNanos;
    }
    boolean still = nowNanos - movedNanos > MILLISECONDS.toNanos(stillMillis);
    if ((ended || looksWrong >= LOOKS_WRONG || still) && opening.compareAndSet(false, true)) {
      // Where nobody settles anything it would be in vain each time.
      stillMillis = still ? Math.min(MOST_STILL_MILLIS, 2 * stillMillis) : STILL_MILLIS;
      looksWrong = 0;
      movedNanos = nowNanos;
      String why =
          ended ? "told to end" : still ? "nothing came for long" : "those that vote were changed";
      apart("agreement-open", () -> openAnew(why));
    }
  }

  private synchronized void openAnew(String why) {
    try {
      if (closed || !failure().isEmpty()) {
        return;
      }
      if (!closes(server)) {
        String open = "the log could not be closed to be opened anew";
        machine.stop(open, new TimeoutException("not within " + CLOSE_SECONDS + " s"));
        return;
      }
      machine = machine.successor();
      server = open();
      server.start();
      Log.info("agreement", "opened anew: " + why);
    } catch (IOException | RuntimeException e) {
      machine.stop("the log could not be opened anew: " + e.getMessage(), e);
    } finally {
      opening.set(false);
    }
  }

  private boolean closes(RaftServer ending) throws IOException {
    CompletableFuture<Void> closed = new CompletableFuture<>();
    apart(
        "agreement-close",
        () -> {
          try {
            ending.close();
            closed.complete(null);
          } catch (IOException | RuntimeException e) {
            closed.completeExceptionally(e);
          }
        });
    try {
      closed.get(CLOSE_SECONDS, SECONDS);
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

  private static void await(String before, Supplier<String> obstacle) throws IOException {
    for (long waited = 0; ; waited += BETWEEN_TRIES_MILLIS) {
      String why = obstacle.get();
      if (why.isEmpty()) {
        return;
      }
      if (waited >= VOTE_MILLIS) {
        throw new IOException(before + why);
      }
      pause();
    }
  }

  private static void pause() throws IOException {
    try {
      Thread.sleep(BETWEEN_TRIES_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException("ending", e);
    }
  }

  /** Has another of those that vote lead; its name. */
  public CompletableFuture<String> transferLeadership() {
    return on(
        own,
        () -> {
          IOException last = new IOException("nobody else votes");
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
                last = new IOException(name + " does not take it: " + reply.getException());
              } catch (IOException e) {
                last = e;
              }
            }
          }
          throw last;
        });
  }

  private static boolean is(RaftPeer peer, String name) {
    return peer.getId().toString().equals(name);
  }

  /** Why this instance's log has stopped for good, or empty. */
  public String failure() {
    return machine.failure();
  }

  /**
   * Of one whose log has stopped the others hear nothing any more: half there, it would be sent
   * everything again and again. It still asks whoever leads, to say that it has ended.
   */
  private void leaveOff() {
    apart(
        "agreement-end",
        () -> {
          try {
            server.close();
          } catch (IOException e) {
            Log.warn("agreement", "end: " + e);
          }
        });
  }

  private static void apart(String name, Runnable task) {
    Thread thread = new Thread(task, name);
    thread.setDaemon(true);
    thread.start();
  }

  /** Who leads as far as this instance knows, or an empty text. */
  public String leader() {
    try {
      RaftPeerId leader = server.getDivision(GROUP).getInfo().getLeaderId();
      return leader == null ? "" : leader.toString();
    } catch (IOException e) {
      return "";
    }
  }

  /** Ends this instance's part. */
  @Override
  public synchronized void close() {
    closed = true;
    submitters.shutdownNow();
    own.shutdownNow();
    for (AutoCloseable each : List.of(clients, server)) {
      try {
        each.close();
      } catch (Exception e) {
        Log.warn("agreement", "end: " + e);
      }
    }
  }
}
