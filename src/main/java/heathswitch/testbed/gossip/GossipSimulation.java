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
 * Instances with the real module, in virtual time: each with a clock of its own that began anywhere
 * and runs up to 2% apart; datagrams are lost, doubled and overtake each other; instances are
 * stopped, killed and started again, and ways are cut one way or both.
 */
final class GossipSimulation {
  static final long MILLI = 1_000_000L;
  static final long TICK = 100 * MILLI;

  /** So long that an instance notices that it was stopped. */
  private static final long LONG_PAUSE = 1500 * MILLI;

  /** Whether it is there, as the world knows it. */
  static final class Node {
    String name;
    String address;
    final double rate;
    final long offset;
    Gossip gossip;
    boolean alive;
    boolean paused;

    /** Whether it was stopped for long, and has neither heard anything nor made a step since. */
    boolean woke;

    long pausedAt;

    /** What it sent since counting began. */
    long sent;

    /** What it held last of each of the others. */
    final Map<String, PeerRecord> heldLast = new HashMap<>();

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

  /** Datagrams for one that is stopped: its socket holds some of them. */
  private final Map<Node, List<Event>> held = new HashMap<>();

  private final Set<List<String>> cut = new HashSet<>();
  private final SplittableRandom random;
  private NetworkConditions weather = NetworkConditions.FAIR;
  private long now;
  private long orders;

  /** The first thing that must never be, or null. */
  private String broken;

  /** Names of those that nobody may hold for dead, and of those that nobody may even suspect. */
  private final Set<String> well = new HashSet<>();

  private final Set<String> unsuspected = new HashSet<>();

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

  void weather(NetworkConditions next) {
    weather = next;
  }

  /** A new process, which knows its name, its address and two seeds. */
  void start(Node node) {
    node.alive = true;
    node.paused = false;
    held.remove(node);
    PeerRecord self =
        new PeerRecord(
            node.name,
            node.address,
            random.nextLong(1, 1L << 52),
            0,
            PeerStatus.ALIVE,
            new PeerAttributes(nodes.indexOf(node) % 2 == 0 ? "a" : "b", 0, 10, 1));
    List<String> seeds = List.of(nodes.get(0).address, nodes.get(1).address);
    node.gossip = new Gossip(GossipTiming.NEAR, self, seeds, random.nextLong());
    node.heldLast.clear();
    schedule(node, now + random.nextLong(TICK));
  }

  private void schedule(Node node, long at) {
    events.add(new Event(at, orders++, node, null, null));
  }

  void kill(Node node) {
    node.alive = false;
  }

  void pause(Node node) {
    node.paused = true;
    node.pausedAt = now;
  }

  void wake(Node node) {
    node.paused = false;
    node.woke = now - node.pausedAt > LONG_PAUSE;
    if (random.nextBoolean()) {
      held.remove(node); // Its socket held nothing.
    }
    // What its socket held comes at once, in any order with its own next step.
    for (Event each : held.getOrDefault(node, List.of())) {
      events.add(
          new Event(now + random.nextLong(MILLI), orders++, node, each.from(), each.message()));
    }
    held.remove(node);
  }

  /** Nothing comes through from one to the other. */
  void cut(Node from, Node to, boolean broken) {
    List<String> way = List.of(from.address, to.address);
    if (broken) {
      cut.add(way);
    } else {
      cut.remove(way);
    }
  }

  void heal() {
    cut.clear();
    weather = NetworkConditions.FAIR;
    for (Node node : nodes) {
      if (node.paused) {
        wake(node);
      }
    }
  }

  private void send(Node from, String to, Message message) {
    from.sent++;
    Node target = byAddress.get(to);
    if (target == null
        || cut.contains(List.of(from.address, to))
        || random.nextDouble() < weather.lost()) {
      return;
    }
    int times = random.nextDouble() < weather.twice() ? 2 : 1;
    for (int i = 0; i < times; i++) {
      long way = weather.fromNanos() + random.nextLong(weather.toNanos() - weather.fromNanos());
      events.add(new Event(now + way, orders++, target, from.address, message));
    }
  }

  private static final int MOST_HELD = 200;

  /** Lets time pass. */
  void pass(long nanos) {
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
          Set<String> doubted = node.woke ? doubted(node) : null;
          node.gossip.tick(clock(node), (to, message) -> send(node, to, message));
          if (node.woke && !doubted.containsAll(doubted(node))) {
            broken(node.name + " condemns somebody for the time in which it was stopped itself");
          }
          node.woke = false;
          watch(node);
        }
        schedule(node, now + TICK);
      } else if (node.paused) {
        List<Event> waiting = held.computeIfAbsent(node, any -> new ArrayList<>());
        if (waiting.size() < MOST_HELD) {
          waiting.add(event);
        }
      } else {
        node.woke = false; // What it doubts from now on may be what it was told.
        node.gossip.receive(
            clock(node), event.from(), event.message(), (to, message) -> send(node, to, message));
      }
    }
    now = until;
  }

  private long clock(Node node) {
    return node.offset + (long) (now * node.rate);
  }

  /** From now on nobody may hold these for dead, and nobody may suspect those. */
  void hold(Set<String> asWell, Set<String> asUnsuspected) {
    well.addAll(asWell);
    unsuspected.addAll(asUnsuspected);
  }

  /** A process by another name at the same address, in place of the one that was there. */
  void rename(Node node) {
    node.alive = false;
    node.name = node.name + "+";
    start(node);
  }

  /** Another process by the name of a node that is there, at the address of this one. */
  void twin(Node node, Node of) {
    node.alive = false;
    node.name = of.name;
    start(node);
  }

  /** How many of those that live keep still, as another process goes by their name. */
  long still() {
    return nodes.stream().filter(node -> node.alive && node.gossip.doubled()).count();
  }

  /** The same name at another address. */
  void move(Node node) {
    node.alive = false;
    byAddress.remove(node.address);
    node.address = node.address + "0";
    byAddress.put(node.address, node);
    start(node);
  }

  /** Whom it holds for less than there, and how. */
  private static Set<String> doubted(Node node) {
    Set<String> doubted = new TreeSet<>();
    for (PeerRecord word : node.gossip.held()) {
      if (word.standing() != PeerStatus.ALIVE) {
        doubted.add(word.name() + word.standing());
      }
    }
    return doubted;
  }

  private void watch(Node by) {
    for (PeerRecord word : by.gossip.held()) {
      if (word.standing() == PeerStatus.DEAD && well.contains(word.name())
          || word.standing() != PeerStatus.ALIVE && unsuspected.contains(word.name())) {
        broken(by.name + " holds " + word);
      }
      PeerRecord before = by.heldLast.put(word.name(), word);
      if (before != null && before != word && goesBack(before, word)) {
        broken(by.name + " went back from " + before + " to " + word);
      }
    }
  }

  private static boolean goesBack(PeerRecord before, PeerRecord word) {
    return before.incarnation() > word.incarnation()
        || before.incarnation() == word.incarnation()
            && before.process() == word.process()
            && before.standing().compareTo(word.standing()) > 0;
  }

  private void broken(String what) {
    broken = broken == null ? nowMillis() + " ms: " + what : broken;
  }

  String broken() {
    return broken;
  }

  /**
   * Whether those that live can find each other at all: by the addresses that each holds, and by
   * the seeds, which all know.
   */
  boolean connected() {
    List<Node> live = nodes.stream().filter(node -> node.alive).toList();
    Set<Node> reached = new HashSet<>(live.subList(0, Math.min(1, live.size())));
    for (boolean more = true; more; ) {
      more = false;
      for (Node node : live) {
        for (Node other : live) {
          if (reached.contains(node) != reached.contains(other)
              && (knows(node, other) || knows(other, node))) {
            reached.add(node);
            reached.add(other);
            more = true;
          }
        }
      }
    }
    return reached.size() == live.size();
  }

  private boolean knows(Node node, Node other) {
    return nodes.indexOf(other) < 2
        || node.gossip.held().stream()
            .anyMatch(
                word -> word.address().equals(other.address) && word.standing() != PeerStatus.LEFT);
  }

  private Set<String> alive() {
    Set<String> alive = new TreeSet<>();
    nodes.stream().filter(node -> node.alive).forEach(node -> alive.add(node.name));
    return alive;
  }

  /** Whether all that live see just those that live. */
  boolean agrees() {
    return disagreement() == null;
  }

  /** Who sees what, where that is not what there is; else null. */
  String disagreement() {
    Set<String> alive = alive();
    for (Node node : nodes) {
      if (node.alive) {
        Set<String> seen = new TreeSet<>();
        node.gossip.presentPeers().forEach(word -> seen.add(word.name()));
        if (!seen.equals(alive)) {
          Set<String> missing = new TreeSet<>(alive);
          missing.removeAll(seen);
          seen.removeAll(alive);
          return node.name + " misses " + missing + " and holds " + seen;
        }
        for (Node other : nodes) {
          PeerRecord self = other.alive ? other.gossip.self() : null;
          if (self != null && node.gossip.presentPeers().stream().noneMatch(self::equals)) {
            return node.name + " does not know what " + self + " says of itself";
          }
        }
      }
    }
    return null;
  }

  /** Messages of a member in a second of so long a calm. */
  double messagesPerSecond(long nanos) {
    nodes.forEach(node -> node.sent = 0);
    pass(nanos);
    long sent = nodes.stream().filter(node -> node.alive).mapToLong(node -> node.sent).sum();
    return sent / (nanos / 1e9) / alive().size();
  }

  /** Until all agree and nobody suspects anybody, or -1 after so long. */
  long untilSettled(long most) {
    for (long waited = 0; waited <= most; waited += TICK) {
      if (agrees() && nodes.stream().noneMatch(node -> node.alive && suspects(node))) {
        return waited;
      }
      pass(TICK);
    }
    return -1;
  }

  private static boolean suspects(Node node) {
    return node.gossip.held().stream().anyMatch(word -> word.standing() == PeerStatus.SUSPECT);
  }

  /** Until all agree, or -1 after so long. */
  long untilAgreed(long most) {
    for (long waited = 0; waited < most; waited += TICK) {
      if (agrees()) {
        return waited;
      }
      pass(TICK);
    }
    return agrees() ? most : -1;
  }
}
