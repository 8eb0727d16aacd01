package heathswitch.testbed.gossip;

import heathswitch.testbed.gossip.GossipSimulation.Node;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.LongStream;

/**
 * Runs many random schedules of faults, each derived from a seed, and checks the invariants of the
 * gossip during and after each of them.
 */
final class PeersExplorer {
  private static final int STEPS = 30;

  /** Time after the last fault within which all views of the membership must be right. */
  static final long SETTLE_NANOS = 120_000 * GossipSimulation.MILLI;

  /** Longer than any datagram is delayed. */
  private static final long MAX_DELAY_NANOS = 300 * GossipSimulation.MILLI;

  /** Shorter than the minimum suspicion timeout. */
  private static final long MAX_SHORT_PAUSE_MILLIS = 3000;

  private PeersExplorer() {}

  /** A violation, and the faults that led to it. */
  record Finding(long seed, String violation, List<String> faults) {}

  /** Runs a number of schedules on all cores. Returns the first finding, or null. */
  static Finding runSchedules(long firstSeed, long schedules) {
    AtomicReference<Finding> found = new AtomicReference<>();
    LongStream.range(firstSeed, firstSeed + schedules)
        .parallel()
        .forEach(
            seed -> {
              if (found.get() == null) {
                Finding finding = runSchedule(seed);
                if (finding != null) {
                  found.compareAndSet(null, finding);
                }
              }
            });
    return found.get();
  }

  /** Runs one schedule. Returns null if no invariant was violated. */
  static Finding runSchedule(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    List<String> faults = new ArrayList<>();
    if (seed % 8 == 0) {
      return runNameConflict(seed, random, faults);
    }
    GossipSimulation simulation = new GossipSimulation(3 + random.nextInt(6), random.nextLong());
    simulation.nodes().forEach(simulation::start);
    if (seed % 3 == 0) {
      runMildFaults(simulation, random, faults);
    } else {
      simulation.advance(random.nextLong(20_000 * GossipSimulation.MILLI));
      for (int i = 0; i < STEPS && simulation.violation() == null; i++) {
        injectFault(simulation, random, faults);
        simulation.advance(random.nextLong(3000 * GossipSimulation.MILLI));
      }
    }
    simulation.heal();
    // Updates from killed instances may arrive until then.
    simulation.advance(MAX_DELAY_NANOS);
    if (simulation.violation() != null) {
      return new Finding(seed, simulation.violation(), faults);
    }
    if (!simulation.connected()) {
      return null; // Instances that know no other one, and no seed is running.
    }
    if (simulation.untilSettled(SETTLE_NANOS) < 0) {
      return new Finding(seed, "no agreement: " + simulation.disagreement(), faults);
    }
    simulation.advance(20_000 * GossipSimulation.MILLI);
    return simulation.agrees()
        ? null
        : new Finding(seed, "agreement lost: " + simulation.disagreement(), faults);
  }

  /** Two processes with one name: one is silent, and announces itself once the other is gone. */
  private static Finding runNameConflict(long seed, SplittableRandom random, List<String> faults) {
    GossipSimulation simulation = new GossipSimulation(4 + random.nextInt(4), random.nextLong());
    simulation.nodes().forEach(simulation::start);
    simulation.advance(random.nextLong(20_000 * GossipSimulation.MILLI));
    Node one = simulation.nodes().get(2);
    Node other = simulation.nodes().get(3);
    for (int i = random.nextInt(4); i > 0; i--) {
      one.gossip.updateAttributes(one.gossip.self().attributes()); // Gets a higher incarnation.
    }
    simulation.restartAsDuplicate(other, one);
    faults.add(simulation.nowMillis() + " ms two processes with the name " + one.name);
    simulation.advance(SETTLE_NANOS);
    if (simulation.silentCount() != 1) {
      return new Finding(seed, simulation.silentCount() + " of the two are silent", faults);
    }
    Node active = one.gossip.nameConflict() ? other : one;
    simulation.kill(active);
    faults.add(simulation.nowMillis() + " ms kill the one that is not silent");
    return simulation.untilSettled(SETTLE_NANOS) < 0 || simulation.silentCount() != 0
        ? new Finding(
            seed, "the other one does not announce itself: " + simulation.disagreement(), faults)
        : null;
  }

  /**
   * Everyday faults under normal network conditions: one instance pauses for a moment, and single
   * links are cut one at a time. No instance may be declared dead, and none but the paused one may
   * be suspected.
   */
  private static void runMildFaults(
      GossipSimulation simulation, SplittableRandom random, List<String> faults) {
    simulation.untilSettled(SETTLE_NANOS);
    List<Node> nodes = simulation.nodes();
    Node paused = nodes.get(random.nextInt(nodes.size()));
    Set<String> all = new HashSet<>();
    nodes.forEach(node -> all.add(node.name));
    Set<String> others = new HashSet<>(all);
    others.remove(paused.name);
    // With three instances there is a single other one to relay, which may be the paused one.
    simulation.requireHealthy(all, nodes.size() > 4 ? others : Set.of());
    for (int i = 0; i < STEPS / 3 && simulation.violation() == null; i++) {
      if (random.nextBoolean()) {
        simulation.pause(paused);
        faults.add(simulation.nowMillis() + " ms pause " + paused.name);
        simulation.advance(
            (500 + random.nextLong(MAX_SHORT_PAUSE_MILLIS - 500)) * GossipSimulation.MILLI);
        simulation.resume(paused);
      } else {
        Node from = nodes.get(random.nextInt(nodes.size()));
        Node to = nodes.get(random.nextInt(nodes.size()));
        faults.add(simulation.nowMillis() + " ms cut link " + from.name + " to " + to.name);
        simulation.setCut(from, to, true);
        simulation.advance((1000 + random.nextLong(20_000)) * GossipSimulation.MILLI);
        simulation.setCut(from, to, false);
      }
      faults.add(simulation.nowMillis() + " ms faults end");
      simulation.advance((12_000 + random.nextLong(8000)) * GossipSimulation.MILLI);
    }
  }

  private static void injectFault(
      GossipSimulation simulation, SplittableRandom random, List<String> faults) {
    List<Node> nodes = simulation.nodes();
    Node one = nodes.get(random.nextInt(nodes.size()));
    Node other = nodes.get(random.nextInt(nodes.size()));
    String description =
        switch (random.nextInt(10)) {
          case 0 -> {
            simulation.kill(one);
            yield "kill " + one.name;
          }
          case 1, 2 -> {
            if (!one.alive) {
              simulation.start(one);
            }
            yield "start " + one.name;
          }
          case 3 -> {
            if (one.alive && !one.paused) {
              simulation.pause(one);
            }
            yield "pause " + one.name;
          }
          case 4, 5 -> {
            if (one.alive && one.paused) {
              simulation.resume(one);
            }
            yield "resume " + one.name;
          }
          case 6 -> {
            boolean isCut = random.nextInt(3) > 0;
            simulation.setCut(one, other, isCut);
            simulation.setCut(other, one, isCut);
            yield (isCut ? "cut " : "restore ") + one.name + " and " + other.name;
          }
          case 7 -> {
            if (random.nextInt(3) == 0 && nodes.indexOf(one) > 1) {
              simulation.restartRenamed(one);
            }
            yield "restart under another name: " + one.name;
          }
          case 8 -> {
            if (random.nextInt(3) == 0 && nodes.indexOf(one) > 1) {
              simulation.restartMoved(one);
            }
            yield "restart at another address: " + one.name;
          }
          default -> {
            simulation.setConditions(
                random.nextBoolean() ? NetworkConditions.DEGRADED : NetworkConditions.NORMAL);
            yield "change of network conditions";
          }
        };
    faults.add(simulation.nowMillis() + " ms " + description);
  }
}
