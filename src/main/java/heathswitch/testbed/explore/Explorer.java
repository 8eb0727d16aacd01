package heathswitch.testbed.explore;

import heathswitch.policy.api.RequestClass.Effect;
import heathswitch.policy.api.RequestProtocol;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Predicate;
import java.util.stream.Collectors;

/**
 * Plays every order of steps up to a depth in every world, each from a world made anew, and lets
 * each come to rest. No order is left out and none stands for another: nothing need be argued.
 */
public final class Explorer {
  /** An order that breaks a property, as short as it can be made. */
  public record Finding(Property property, World.Setup setup, List<Step> steps) {
    /** A timeline to be read and a test to be pasted. */
    @Override
    public String toString() {
      String names = steps.stream().map(Step::name).collect(Collectors.joining(", "));
      return property
          + " in "
          + setup
          + "\n"
          + steps.stream().map(step -> "  " + step).collect(Collectors.joining("\n"))
          + "\n  assertEquals(Set.of(), Explorer.play(new World."
          + setup.toString().replace('[', '(').replace(']', ')')
          + ", List.of("
          + names
          + ")));";
    }
  }

  private final int depth;
  private final AtomicLong states = new AtomicLong();
  private final AtomicLong transitions = new AtomicLong();
  private final Map<Property, Finding> findings = new EnumMap<>(Property.class);
  private final boolean stopAtFirst;

  /** For orders of so many steps at most. */
  public Explorer(int depth, boolean stopAtFirst) {
    this.depth = depth;
    this.stopAtFirst = stopAtFirst;
  }

  /** Every world that is explored. */
  public static List<World.Setup> worlds() {
    List<World.Setup> worlds = new ArrayList<>();
    for (Effect a : Effect.values()) {
      for (Effect b : Effect.values()) {
        for (int servers = 1; servers <= 2; servers++) {
          for (int tier = 0; tier <= 1; tier++) {
            worlds.add(new World.Setup(a, b, RequestProtocol.HTTP1, servers, tier, true, false));
          }
        }
      }
      worlds.add(new World.Setup(a, a, RequestProtocol.HTTP1, 2, 0, false, false));
      worlds.add(new World.Setup(a, a, RequestProtocol.GRPC_STREAM, 2, 0, true, false));
      for (int tier = 0; tier <= 1; tier++) {
        worlds.add(new World.Setup(a, a, RequestProtocol.HTTP1, 1, tier, true, true));
      }
    }
    return worlds;
  }

  /**
   * Plays one order and lets the world come to rest; what it broke. Steps that cannot be are left
   * out.
   */
  public static Set<Property> play(World.Setup setup, List<Step> steps) {
    World world = new World(setup);
    for (Step step : steps) {
      if (world.enabled(step)) {
        world.play(step);
      }
    }
    return world.rest();
  }

  /** Explores all worlds, several at a time. */
  public Explorer run() {
    worlds().parallelStream().forEach(setup -> explore(setup, new ArrayList<>()));
    return this;
  }

  private boolean done() {
    synchronized (findings) {
      return stopAtFirst && !findings.isEmpty();
    }
  }

  private void explore(World.Setup setup, List<Step> path) {
    if (done()) {
      return;
    }
    // Each order is played from the start: real objects cannot be copied half-way.
    World world = new World(setup);
    for (Step step : path) {
      world.play(step);
    }
    List<Step> next = new ArrayList<>();
    if (path.size() < depth) {
      for (Step step : Step.values()) {
        if (world.enabled(step)) {
          next.add(step);
        }
      }
    }
    states.incrementAndGet();
    transitions.addAndGet(path.size());
    for (Property property : world.rest()) {
      found(property, setup, path);
    }
    for (Step step : next) {
      path.add(step);
      explore(setup, path);
      path.remove(path.size() - 1);
    }
  }

  private void found(Property property, World.Setup setup, List<Step> path) {
    synchronized (findings) {
      Finding before = findings.get(property);
      if (before == null || path.size() < before.steps().size()) {
        List<Step> shortest = shrink(path, steps -> play(setup, steps).contains(property));
        findings.put(property, new Finding(property, setup, shortest));
      }
    }
  }

  /** Leaves out one step after the other as long as what was found shows. */
  static List<Step> shrink(List<Step> path, Predicate<List<Step>> shows) {
    List<Step> shortest = new ArrayList<>(path);
    for (int i = shortest.size() - 1; i >= 0; i--) {
      List<Step> shorter = new ArrayList<>(shortest);
      shorter.remove(i);
      if (shows.test(shorter)) {
        shortest = shorter;
      }
    }
    return shortest;
  }

  /** Orders that were played to rest. */
  public long states() {
    return states.get();
  }

  /** Steps that were played. */
  public long transitions() {
    return transitions.get();
  }

  /** The shortest order found for each property that was broken. */
  public List<Finding> findings() {
    synchronized (findings) {
      return List.copyOf(findings.values());
    }
  }
}
