package heathswitch.testbed.maintenance;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.LongStream;

/**
 * Explores {@link MaintenanceSimulation}s: random schedules of faults by seed, and exhaustively
 * every sequence of a few events from selected states.
 */
final class WorkExplorer {
  private WorkExplorer() {}

  /** The number of schedules that were run, and the first violation, or null. */
  record Result(long schedules, MaintenanceSimulation.Violation violation) {}

  /** Runs random schedules, each from a seed of its own, on all cores. */
  static Result randomSchedules(long from, long schedules, int steps) {
    AtomicReference<MaintenanceSimulation.Violation> firstViolation = new AtomicReference<>();
    AtomicLong count = new AtomicLong();
    LongStream.range(from, from + schedules)
        .parallel()
        .forEach(
            seed -> {
              if (firstViolation.get() == null) {
                count.incrementAndGet();
                MaintenanceSimulation.Violation violation =
                    MaintenanceSimulation.runRandom(seed, steps);
                if (violation != null) {
                  firstViolation.compareAndSet(null, violation);
                }
              }
            });
    return new Result(count.get(), firstViolation.get());
  }

  /**
   * Runs every sequence of {@code depth} events from each starting state, in which up to two
   * maintenance orders are requested.
   */
  static Result eventSequences(int depth) {
    AtomicReference<MaintenanceSimulation.Violation> firstViolation = new AtomicReference<>();
    AtomicLong count = new AtomicLong();
    List<List<MaintenanceSimulation.Event>> startStates = startStates();
    for (boolean stopsWhenCutOff : new boolean[] {true, false}) {
      for (List<MaintenanceSimulation.Event> start : startStates) {
        List<MaintenanceSimulation.Event> first =
            replay(stopsWhenCutOff, 0, start).possibleEvents();
        first.parallelStream()
            .forEach(
                event -> {
                  List<MaintenanceSimulation.Event> path = new ArrayList<>(start);
                  path.add(event);
                  exploreFrom(stopsWhenCutOff, path, depth - 1, firstViolation, count);
                });
      }
    }
    return new Result(count.get(), firstViolation.get());
  }

  /**
   * Removes events from a violation as long as the same invariant is still violated; null stays
   * null.
   */
  static MaintenanceSimulation.Violation shorten(MaintenanceSimulation.Violation violation) {
    if (violation == null || violation.invariant() == MaintenanceSimulation.Invariant.PROGRESS) {
      // Its description lists the unfinished orders; the last events do not explain it.
      return violation;
    }
    MaintenanceSimulation.Violation shortest = violation;
    for (int chunk = Math.max(1, violation.events().size() / 2); chunk > 0; chunk /= 2) {
      for (int from = 0; from < shortest.events().size(); ) {
        List<MaintenanceSimulation.Event> fewer = new ArrayList<>(shortest.events());
        fewer.subList(from, Math.min(from + chunk, fewer.size())).clear();
        MaintenanceSimulation.Violation remaining =
            replay(shortest.stopsWhenCutOff(), shortest.configuration(), fewer).violation();
        if (remaining != null && remaining.invariant() == violation.invariant()) {
          shortest = remaining;
        } else {
          from += chunk;
        }
      }
    }
    return shortest;
  }

  private static MaintenanceSimulation replay(
      boolean stopsWhenCutOff, int configuration, List<MaintenanceSimulation.Event> path) {
    MaintenanceSimulation simulation = new MaintenanceSimulation(stopsWhenCutOff, configuration);
    path.forEach(simulation::execute);
    return simulation;
  }

  private static void exploreFrom(
      boolean stopsWhenCutOff,
      List<MaintenanceSimulation.Event> path,
      int depth,
      AtomicReference<MaintenanceSimulation.Violation> firstViolation,
      AtomicLong count) {
    if (firstViolation.get() != null) {
      return;
    }
    MaintenanceSimulation simulation = replay(stopsWhenCutOff, 0, path);
    count.incrementAndGet();
    if (simulation.violation() != null) {
      firstViolation.compareAndSet(null, simulation.violation());
    } else if (depth > 0) {
      for (MaintenanceSimulation.Event event : simulation.possibleEvents()) {
        path.add(event);
        exploreFrom(stopsWhenCutOff, path, depth - 1, firstViolation, count);
        path.remove(path.size() - 1);
      }
    }
  }

  /**
   * All instances joined; a machine being emptied; an instance paused; an instance fenced; a
   * machine out.
   */
  private static List<List<MaintenanceSimulation.Event>> startStates() {
    List<MaintenanceSimulation.Event> joined = new ArrayList<>();
    addRound(joined);
    addRound(joined);
    List<MaintenanceSimulation.Event> emptying = new ArrayList<>(joined);
    emptying.add(event(MaintenanceSimulation.Kind.DISPATCH_CALL, 4));
    emptying.add(event(MaintenanceSimulation.Kind.WRITE_CALL, 1));
    emptying.add(event(MaintenanceSimulation.Kind.REQUEST_ORDER, 0));
    emptying.add(event(MaintenanceSimulation.Kind.REQUEST_ORDER, 3));
    List<MaintenanceSimulation.Event> paused = new ArrayList<>(joined);
    paused.add(event(MaintenanceSimulation.Kind.DISPATCH_CALL, 8));
    paused.add(event(MaintenanceSimulation.Kind.PAUSE, 2));
    paused.add(event(MaintenanceSimulation.Kind.REQUEST_ORDER, 0));
    List<MaintenanceSimulation.Event> fenced = new ArrayList<>(paused);
    for (int i = 0; i < 14; i++) {
      addRound(fenced);
    }
    List<MaintenanceSimulation.Event> out = new ArrayList<>(emptying);
    out.add(event(MaintenanceSimulation.Kind.END_CALL, 1));
    addRound(out);
    addRound(out);
    addRound(out);
    return List.of(joined, emptying, paused, fenced, out);
  }

  /** Appends a round without faults: time advances, and each instance steps and applies the log. */
  private static void addRound(List<MaintenanceSimulation.Event> path) {
    path.add(event(MaintenanceSimulation.Kind.ADVANCE_TIME, 120));
    for (int i = 0; i < 3; i++) {
      path.add(event(MaintenanceSimulation.Kind.STEP, i));
    }
    // More events than can happen; the others are skipped.
    for (int i = 0; i < 6; i++) {
      path.add(event(MaintenanceSimulation.Kind.APPEND, 0));
    }
    for (int k = 0; k < 6; k++) {
      for (int i = 0; i < 3; i++) {
        path.add(event(MaintenanceSimulation.Kind.APPLY, i));
      }
    }
  }

  private static MaintenanceSimulation.Event event(MaintenanceSimulation.Kind kind, int argument) {
    return new MaintenanceSimulation.Event(kind, argument);
  }
}
