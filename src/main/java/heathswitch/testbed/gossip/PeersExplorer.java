package heathswitch.testbed.gossip;

import heathswitch.testbed.gossip.GossipSimulation.Node;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.LongStream;

/** Many schedules of faults, each by a seed, and what has to hold during and after each of them. */
final class PeersExplorer {
  private static final int STEPS = 30;

  /** After the last fault all who live see just those who live within this time. */
  static final long CALM_NANOS = 120_000 * GossipSimulation.MILLI;

  /** No datagram is longer on its way. */
  private static final long LATE_NANOS = 300 * GossipSimulation.MILLI;

  /** Shorter than the least time to refute a suspicion. */
  private static final long SHORT_PAUSE_MILLIS = 3000;

  private PeersExplorer() {}

  /** What did not hold, after which faults. */
  record Finding(long seed, String what, List<String> faults) {}

  /** So many schedules on all cores; the first finding or null. */
  static Finding random(long from, long schedules) {
    AtomicReference<Finding> found = new AtomicReference<>();
    LongStream.range(from, from + schedules)
        .parallel()
        .forEach(
            seed -> {
              if (found.get() == null) {
                Finding finding = play(seed);
                if (finding != null) {
                  found.compareAndSet(null, finding);
                }
              }
            });
    return found.get();
  }

  /** One schedule; null if all held. */
  static Finding play(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    List<String> faults = new ArrayList<>();
    if (seed % 8 == 0) {
      return twins(seed, random, faults);
    }
    GossipSimulation colony = new GossipSimulation(3 + random.nextInt(6), random.nextLong());
    colony.nodes().forEach(colony::start);
    if (seed % 3 == 0) {
      mild(colony, random, faults);
    } else {
      colony.pass(random.nextLong(20_000 * GossipSimulation.MILLI));
      for (int i = 0; i < STEPS && colony.broken() == null; i++) {
        fault(colony, random, faults);
        colony.pass(random.nextLong(3000 * GossipSimulation.MILLI));
      }
    }
    colony.heal();
    colony.pass(LATE_NANOS); // Until then words of the dead may still come.
    if (colony.broken() != null) {
      return new Finding(seed, colony.broken(), faults);
    }
    if (!colony.connected()) {
      return null; // Two that know of nobody else, and no seed that lives.
    }
    if (colony.untilSettled(CALM_NANOS) < 0) {
      return new Finding(seed, "no agreement: " + colony.disagreement(), faults);
    }
    colony.pass(20_000 * GossipSimulation.MILLI);
    return colony.agrees()
        ? null
        : new Finding(seed, "agreement lost: " + colony.disagreement(), faults);
  }

  /** Two by one name: one of them keeps still, and speaks when the other has gone. */
  private static Finding twins(long seed, SplittableRandom random, List<String> faults) {
    GossipSimulation colony = new GossipSimulation(4 + random.nextInt(4), random.nextLong());
    colony.nodes().forEach(colony::start);
    colony.pass(random.nextLong(20_000 * GossipSimulation.MILLI));
    Node one = colony.nodes().get(2);
    Node other = colony.nodes().get(3);
    for (int i = random.nextInt(4); i > 0; i--) {
      one.gossip.facts(
          one.gossip.self().attributes()); // It has said more of itself than the other.
    }
    colony.twin(other, one);
    faults.add(colony.nowMillis() + " ms two by the name " + one.name);
    colony.pass(CALM_NANOS);
    if (colony.still() != 1) {
      return new Finding(seed, colony.still() + " of two keep still", faults);
    }
    Node kept = one.gossip.doubled() ? other : one;
    colony.kill(kept);
    faults.add(colony.nowMillis() + " ms the one that spoke is killed");
    return colony.untilSettled(CALM_NANOS) < 0 || colony.still() != 0
        ? new Finding(seed, "the other does not speak: " + colony.disagreement(), faults)
        : null;
  }

  /**
   * What a fleet lives through every day: one instance stops for a moment, one way at a time is
   * cut, in fair weather. Nobody dies of it, and nobody but the one that stopped is even suspected.
   */
  private static void mild(GossipSimulation colony, SplittableRandom random, List<String> faults) {
    colony.untilSettled(CALM_NANOS);
    List<Node> nodes = colony.nodes();
    Node stops = nodes.get(random.nextInt(nodes.size()));
    Set<String> all = new HashSet<>();
    nodes.forEach(node -> all.add(node.name));
    Set<String> others = new HashSet<>(all);
    others.remove(stops.name);
    // With three there is one other to ask, which may be the one that is stopped.
    colony.hold(all, nodes.size() > 4 ? others : Set.of());
    for (int i = 0; i < STEPS / 3 && colony.broken() == null; i++) {
      if (random.nextBoolean()) {
        colony.pause(stops);
        faults.add(colony.nowMillis() + " ms stop " + stops.name);
        colony.pass((500 + random.nextLong(SHORT_PAUSE_MILLIS - 500)) * GossipSimulation.MILLI);
        colony.wake(stops);
      } else {
        Node from = nodes.get(random.nextInt(nodes.size()));
        Node to = nodes.get(random.nextInt(nodes.size()));
        faults.add(colony.nowMillis() + " ms way " + from.name + " to " + to.name);
        colony.cut(from, to, true);
        colony.pass((1000 + random.nextLong(20_000)) * GossipSimulation.MILLI);
        colony.cut(from, to, false);
      }
      faults.add(colony.nowMillis() + " ms well");
      colony.pass((12_000 + random.nextLong(8000)) * GossipSimulation.MILLI);
    }
  }

  private static void fault(GossipSimulation colony, SplittableRandom random, List<String> faults) {
    List<Node> nodes = colony.nodes();
    Node one = nodes.get(random.nextInt(nodes.size()));
    Node other = nodes.get(random.nextInt(nodes.size()));
    String what =
        switch (random.nextInt(10)) {
          case 0 -> {
            colony.kill(one);
            yield "kill " + one.name;
          }
          case 1, 2 -> {
            if (!one.alive) {
              colony.start(one);
            }
            yield "start " + one.name;
          }
          case 3 -> {
            if (one.alive && !one.paused) {
              colony.pause(one);
            }
            yield "stop " + one.name;
          }
          case 4, 5 -> {
            if (one.alive && one.paused) {
              colony.wake(one);
            }
            yield "wake " + one.name;
          }
          case 6 -> {
            boolean broken = random.nextInt(3) > 0;
            colony.cut(one, other, broken);
            colony.cut(other, one, broken);
            yield (broken ? "cut " : "mend ") + one.name + " and " + other.name;
          }
          case 7 -> {
            if (random.nextInt(3) == 0 && nodes.indexOf(one) > 1) {
              colony.rename(one);
            }
            yield "another name: " + one.name;
          }
          case 8 -> {
            if (random.nextInt(3) == 0 && nodes.indexOf(one) > 1) {
              colony.move(one);
            }
            yield "at another address: " + one.name;
          }
          default -> {
            colony.weather(random.nextBoolean() ? NetworkConditions.FOUL : NetworkConditions.FAIR);
            yield "weather";
          }
        };
    faults.add(colony.nowMillis() + " ms " + what);
  }
}
