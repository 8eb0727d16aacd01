package heathswitch.testbed.gossip;

import heathswitch.policy.gossip.Gossip;
import heathswitch.policy.gossip.GossipTiming;
import heathswitch.policy.gossip.Message;
import heathswitch.policy.gossip.PeerAttributes;
import heathswitch.policy.gossip.PeerRecord;
import heathswitch.policy.gossip.PeerStatus;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;

/**
 * Simulates a fleet of instances that run the real {@link Gossip} in virtual time. Each instance
 * has its own clock with an arbitrary origin and a rate that deviates by up to 2%. Datagrams are
 * lost, duplicated and reordered; instances are paused, killed and restarted; links are cut in one
 * direction or both.
 */
final class GossipSimulation {
  static final long MILLI = 1_000_000L;
  static final long TICK = 100 * MILLI;

  /** A pause longer than this is noticed by the paused instance itself. */
  private static final long LONG_PAUSE = 1500 * MILLI;

  /** One instance and its true state. */
  static final class Node {
    String name;
    String address;
    final double rate;
    final long offset;
    Gossip gossip;
    boolean alive;
    boolean paused;

    /** Whether it was paused for long and has neither received a message nor run a tick since. */
    boolean justResumed;

    long pausedAt;

    /** Messages that it sent since the counter was reset. */
    long sent;

    /** The record that it last had of each other instance. */
    final Map<String, PeerRecord> lastRecords = new HashMap<>();

    Node(String name, String address, double rate, long offset) {
      this.name = name;
      this.address = address;
      this.rate = rate;
      this.offset = offset;
    }
  }

  private record Event(long at, long order, Node to, String from, Message message) {}

  private final List<Node> nodes = new ArrayList<>();
  private final Map<String, Node> byAddress = new HashMap<>();
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          (a, b) ->
              a.at() != b.at() ? Long.compare(a.at(), b.at()) : Long.compare(a.order(), b.order()));

  /** Datagrams that wait in the socket buffer of a paused instance. */
  private final Map<Node, List<Event>> buffered = new HashMap<>();

  private final Set<List<String>> cutLinks = new HashSet<>();
  private final SplittableRandom random;
  private NetworkConditions conditions = NetworkConditions.NORMAL;
  private long now;
  private long eventCount;

  /** The first violation of an invariant, or null. */
  private String violation;

  /** Names of instances that no other one may consider dead. */
  private final Set<String> neverDead = new HashSet<>();

  /** Names of instances that no other one may suspect. */
  private final Set<String> neverSuspected = new HashSet<>();

  GossipSimulation(int size, long seed) {
    random = new SplittableRandom(seed);
    for (int i = 0; i < size; i++) {
      double rate = 0.98 + 0.04 * random.nextDouble();
      Node node = new Node("edge-" + i, "10.0.0." + i + ":7", rate, random.nextLong(1L << 50));
      nodes.add(node);
      byAddress.put(node.address, node);
    }
  }

  List<Node> nodes() {
    return nodes;
  }

  long nowMillis() {
    return now / MILLI;
  }

  void setConditions(NetworkConditions newConditions) {
    conditions = newConditions;
  }

  /** Starts a new process, which knows only its name, its address and two seeds. */
  void start(Node node) {
    node.alive = true;
    node.paused = false;
    buffered.remove(node);
    PeerRecord self =
        new PeerRecord(
            node.name,
            node.address,
            random.nextLong(1, 1L << 52),
            0,
            PeerStatus.ALIVE,
            new PeerAttributes(nodes.indexOf(node) % 2 == 0 ? "a" : "b", 0, 10, 1));
    List<String> seeds = List.of(nodes.get(0).address, nodes.get(1).address);
    node.gossip = new Gossip(GossipTiming.LOCAL_NETWORK, self, seeds, random.nextLong());
    node.lastRecords.clear();
    schedule(node, now + random.nextLong(TICK));
  }

  private void schedule(Node node, long at) {
    events.add(new Event(at, eventCount++, node, null, null));
  }

  void kill(Node node) {
    node.alive = false;
  }

  void pause(Node node) {
    node.paused = true;
    node.pausedAt = now;
  }

  void resume(Node node) {
    node.paused = false;
    node.justResumed = now - node.pausedAt > LONG_PAUSE;
    if (random.nextBoolean()) {
      buffered.remove(node); // The datagrams in its socket buffer are lost.
    }
    // The buffered datagrams arrive at once, in random order relative to its next tick.
    for (Event each : buffered.getOrDefault(node, List.of())) {
      events.add(
          new Event(now + random.nextLong(MILLI), eventCount++, node, each.from(), each.message()));
    }
    buffered.remove(node);
  }

  /** Cuts or restores the link in one direction. */
  void setCut(Node from, Node to, boolean isCut) {
    List<String> link = List.of(from.address, to.address);
    if (isCut) {
      cutLinks.add(link);
    } else {
      cutLinks.remove(link);
    }
  }

  /** Restores all links, normal network conditions and all paused instances. */
  void heal() {
    cutLinks.clear();
    conditions = NetworkConditions.NORMAL;
    for (Node node : nodes) {
      if (node.paused) {
        resume(node);
      }
    }
  }

  private void send(Node from, String to, Message message) {
    from.sent++;
    Node target = byAddress.get(to);
    if (target == null
        || cutLinks.contains(List.of(from.address, to))
        || random.nextDouble() < conditions.lossRate()) {
      return;
    }
    int copies = random.nextDouble() < conditions.duplicateRate() ? 2 : 1;
    for (int i = 0; i < copies; i++) {
      long delay =
          conditions.minDelayNanos()
              + random.nextLong(conditions.maxDelayNanos() - conditions.minDelayNanos());
      events.add(new Event(now + delay, eventCount++, target, from.address, message));
    }
  }

  /** Maximum number of datagrams in the socket buffer of a paused instance. */
  private static final int MAX_BUFFERED = 200;

  /** Advances the virtual time and processes the events that are due. */
  void advance(long nanos) {
    long until = now + nanos;
    while (!events.isEmpty() && events.peek().at() <= until) {
      Event event = events.poll();
      now = event.at();
      Node node = event.to();
      if (!node.alive) {
        continue;
      }
      if (event.message() == null) {
        if (!node.paused) {
          Set<String> notAlive = node.justResumed ? notAlive(node) : null;
          node.gossip.tick(clock(node), (to, message) -> send(node, to, message));
          if (node.justResumed && !notAlive.containsAll(notAlive(node))) {
            recordViolation(node.name + " suspects a peer because of its own pause");
          }
          node.justResumed = false;
          checkInvariants(node);
        }
        schedule(node, now + TICK);
      } else if (node.paused) {
        List<Event> buffer = buffered.computeIfAbsent(node, any -> new ArrayList<>());
        if (buffer.size() < MAX_BUFFERED) {
          buffer.add(event);
        }
      } else {
        // From now on, the message may be the reason why it suspects a peer.
        node.justResumed = false;
        node.gossip.receive(
            clock(node), event.from(), event.message(), (to, message) -> send(node, to, message));
      }
    }
    now = until;
  }

  private long clock(Node node) {
    return node.offset + (long) (now * node.rate);
  }

  /** From now on, no instance may consider the first ones dead or suspect the second ones. */
  void requireHealthy(Set<String> namesNeverDead, Set<String> namesNeverSuspected) {
    neverDead.addAll(namesNeverDead);
    neverSuspected.addAll(namesNeverSuspected);
  }

  /** Replaces the process at an address by one with another name. */
  void restartRenamed(Node node) {
    node.alive = false;
    node.name = node.name + "+";
    start(node);
  }

  /** Restarts a node under the name of another node that is running. */
  void restartAsDuplicate(Node node, Node original) {
    node.alive = false;
    node.name = original.name;
    start(node);
  }

  /** Number of running nodes that are silent because another process uses their name. */
  long silentCount() {
    return nodes.stream().filter(node -> node.alive && node.gossip.nameConflict()).count();
  }

  /** Replaces a process by one with the same name at another address. */
  void restartMoved(Node node) {
    node.alive = false;
    byAddress.remove(node.address);
    node.address = node.address + "0";
    byAddress.put(node.address, node);
    start(node);
  }

  /** The peers that a node does not consider alive, with their status. */
  private static Set<String> notAlive(Node node) {
    Set<String> notAlive = new TreeSet<>();
    for (PeerRecord record : node.gossip.knownPeers()) {
      if (record.status() != PeerStatus.ALIVE) {
        notAlive.add(record.name() + record.status());
      }
    }
    return notAlive;
  }

  private void checkInvariants(Node observer) {
    for (PeerRecord record : observer.gossip.knownPeers()) {
      if (record.status() == PeerStatus.DEAD && neverDead.contains(record.name())
          || record.status() != PeerStatus.ALIVE && neverSuspected.contains(record.name())) {
        recordViolation(observer.name + " has the record " + record);
      }
      PeerRecord before = observer.lastRecords.put(record.name(), record);
      if (before != null && before != record && isOlder(before, record)) {
        recordViolation(observer.name + " replaced " + before + " by the older " + record);
      }
    }
  }

  private static boolean isOlder(PeerRecord before, PeerRecord after) {
    return before.incarnation() > after.incarnation()
        || before.incarnation() == after.incarnation()
            && before.processNonce() == after.processNonce()
            && before.status().compareTo(after.status()) > 0;
  }

  private void recordViolation(String text) {
    violation = violation == null ? nowMillis() + " ms: " + text : violation;
  }

  String violation() {
    return violation;
  }

  /**
   * Whether the running instances can find each other at all, by the addresses that each one knows
   * and by the seeds, which all of them know.
   */
  boolean connected() {
    List<Node> running = nodes.stream().filter(node -> node.alive).toList();
    Set<Node> reached = new HashSet<>(running.subList(0, Math.min(1, running.size())));
    for (boolean changed = true; changed; ) {
      changed = false;
      for (Node node : running) {
        for (Node other : running) {
          if (reached.contains(node) != reached.contains(other)
              && (canReach(node, other) || canReach(other, node))) {
            reached.add(node);
            reached.add(other);
            changed = true;
          }
        }
      }
    }
    return reached.size() == running.size();
  }

  private boolean canReach(Node node, Node other) {
    return nodes.indexOf(other) < 2
        || node.gossip.knownPeers().stream()
            .anyMatch(
                record ->
                    record.address().equals(other.address) && record.status() != PeerStatus.LEFT);
  }

  private Set<String> alive() {
    Set<String> alive = new TreeSet<>();
    nodes.stream().filter(node -> node.alive).forEach(node -> alive.add(node.name));
    return alive;
  }

  /** Whether every running instance sees exactly the running instances. */
  boolean agrees() {
    return disagreement() == null;
  }

  /** Describes the first instance with a wrong view of the membership; null if there is none. */
  String disagreement() {
    Set<String> alive = alive();
    for (Node node : nodes) {
      if (node.alive) {
        Set<String> seen = new TreeSet<>();
        node.gossip.presentPeers().forEach(record -> seen.add(record.name()));
        if (!seen.equals(alive)) {
          Set<String> missing = new TreeSet<>(alive);
          missing.removeAll(seen);
          seen.removeAll(alive);
          return node.name + " misses " + missing + " and wrongly has " + seen;
        }
        for (Node other : nodes) {
          PeerRecord self = other.alive ? other.gossip.self() : null;
          if (self != null && node.gossip.presentPeers().stream().noneMatch(self::equals)) {
            return node.name + " does not have the latest record " + self;
          }
        }
      }
    }
    return null;
  }

  /** Messages per second and member, measured over a span of time. */
  double messagesPerSecond(long nanos) {
    nodes.forEach(node -> node.sent = 0);
    advance(nanos);
    long sent = nodes.stream().filter(node -> node.alive).mapToLong(node -> node.sent).sum();
    return sent / (nanos / 1e9) / alive().size();
  }

  /**
   * Advances until all views are right and no instance is suspected. Returns the nanoseconds this
   * took, or -1 after the maximum.
   */
  long untilSettled(long maxNanos) {
    for (long waited = 0; waited <= maxNanos; waited += TICK) {
      if (agrees() && nodes.stream().noneMatch(node -> node.alive && suspects(node))) {
        return waited;
      }
      advance(TICK);
    }
    return -1;
  }

  private static boolean suspects(Node node) {
    return node.gossip.knownPeers().stream()
        .anyMatch(record -> record.status() == PeerStatus.SUSPECT);
  }

  /**
   * Advances until all views are right. Returns the nanoseconds this took, or -1 after the maximum.
   */
  long untilAgreed(long maxNanos) {
    for (long waited = 0; waited < maxNanos; waited += TICK) {
      if (agrees()) {
        return waited;
      }
      advance(TICK);
    }
    return agrees() ? maxNanos : -1;
  }
}
