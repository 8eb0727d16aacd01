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
 * Explores all sequences of steps up to a given length in all configurations, each in a new harness
 * that is then run to rest. There is no state merging or partial-order reduction, so completeness
 * doesn't depend on an argument about equivalent sequences.
 */
public final class Explorer {
  /** A minimized sequence of steps that violates an invariant. */
  public record Counterexample(
      Invariant invariant, DispatchHarness.Config config, List<Step> steps) {
    /** Returns the list of steps and an assertion that can be pasted into a test. */
    @Override
    public String toString() {
      String stepNames = steps.stream().map(Step::name).collect(Collectors.joining(", "));
      return invariant
          + " in "
          + config
          + "\n"
          + steps.stream().map(step -> "  " + step).collect(Collectors.joining("\n"))
          + "\n  assertEquals(Set.of(), Explorer.play(new DispatchHarness."
          + config.toString().replace('[', '(').replace(']', ')')
          + ", List.of("
          + stepNames
          + ")));";
    }
  }

  private final int depth;
  private final AtomicLong states = new AtomicLong();
  private final AtomicLong transitions = new AtomicLong();
  private final Map<Invariant, Counterexample> counterexamples = new EnumMap<>(Invariant.class);
  private final boolean stopAtFirst;

  /** Creates an explorer of sequences of at most this many steps. */
  public Explorer(int depth, boolean stopAtFirst) {
    this.depth = depth;
    this.stopAtFirst = stopAtFirst;
  }

  /** The configurations that are explored. */
  public static List<DispatchHarness.Config> configs() {
    List<DispatchHarness.Config> configs = new ArrayList<>();
    for (Effect a : Effect.values()) {
      for (Effect b : Effect.values()) {
        for (int servers = 1; servers <= 2; servers++) {
          for (int tier = 0; tier <= 1; tier++) {
            configs.add(
                new DispatchHarness.Config(
                    a, b, RequestProtocol.HTTP1, servers, tier, true, false));
          }
        }
      }
      configs.add(new DispatchHarness.Config(a, a, RequestProtocol.HTTP1, 2, 0, false, false));
      configs.add(new DispatchHarness.Config(a, a, RequestProtocol.GRPC_STREAM, 2, 0, true, false));
      for (int tier = 0; tier <= 1; tier++) {
        configs.add(new DispatchHarness.Config(a, a, RequestProtocol.HTTP1, 1, tier, true, true));
      }
    }
    return configs;
  }

  /**
   * Plays one sequence, runs it to rest and returns the violated invariants. Steps that are not
   * enabled are skipped.
   */
  public static Set<Invariant> play(DispatchHarness.Config config, List<Step> steps) {
    DispatchHarness harness = new DispatchHarness(config);
    for (Step step : steps) {
      if (harness.enabled(step)) {
        harness.play(step);
      }
    }
    return harness.runToRest();
  }

  /** Explores all configurations in parallel. */
  public Explorer run() {
    configs().parallelStream().forEach(config -> explore(config, new ArrayList<>()));
    return this;
  }

  private boolean shouldStop() {
    synchronized (counterexamples) {
      return stopAtFirst && !counterexamples.isEmpty();
    }
  }

  private void explore(DispatchHarness.Config config, List<Step> path) {
    if (shouldStop()) {
      return;
    }
    // Each sequence is replayed from the start, since the real objects cannot be copied.
    DispatchHarness harness = new DispatchHarness(config);
    for (Step step : path) {
      harness.play(step);
    }
    List<Step> next = new ArrayList<>();
    if (path.size() < depth) {
      for (Step step : Step.values()) {
        if (harness.enabled(step)) {
          next.add(step);
        }
      }
    }
    states.incrementAndGet();
    transitions.addAndGet(path.size());
    for (Invariant invariant : harness.runToRest()) {
      record(invariant, config, path);
    }
    for (Step step : next) {
      path.add(step);
      explore(config, path);
      path.remove(path.size() - 1);
    }
  }

  private void record(Invariant invariant, DispatchHarness.Config config, List<Step> path) {
    synchronized (counterexamples) {
      Counterexample known = counterexamples.get(invariant);
      if (known == null || path.size() < known.steps().size()) {
        List<Step> shortest = shrink(path, steps -> play(config, steps).contains(invariant));
        counterexamples.put(invariant, new Counterexample(invariant, config, shortest));
      }
    }
  }

  /** Removes single steps from a sequence while it still reproduces the violation. */
  static List<Step> shrink(List<Step> path, Predicate<List<Step>> reproduces) {
    List<Step> shortest = new ArrayList<>(path);
    for (int i = shortest.size() - 1; i >= 0; i--) {
      List<Step> shorter = new ArrayList<>(shortest);
      shorter.remove(i);
      if (reproduces.test(shorter)) {
        shortest = shorter;
      }
    }
    return shortest;
  }

  /** The number of sequences that were run to rest. */
  public long states() {
    return states.get();
  }

  /** The number of steps that were played. */
  public long transitions() {
    return transitions.get();
  }

  /** The shortest sequence found for each violated invariant. */
  public List<Counterexample> counterexamples() {
    synchronized (counterexamples) {
      return List.copyOf(counterexamples.values());
    }
  }
}
