package heathswitch.testbed.maintenance;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.LongStream;

/** Many schedules of faults by seeds, and every order of a few events from states that matter. */
final class WorkExplorer {
  private WorkExplorer() {}

  /** What was played, and the first invariant that did not hold, or null. */
  record Result(long schedules, MaintenanceSimulation.Violation violation) {}

  /** So many schedules, each by a seed of its own, on all cores. */
  static Result randomSchedules(long from, long schedules, int steps) {
    AtomicReference<MaintenanceSimulation.Violation> found = new AtomicReference<>();
    AtomicLong played = new AtomicLong();
    LongStream.range(from, from + schedules)
        .parallel()
        .forEach(
            seed -> {
              if (found.get() == null) {
                played.incrementAndGet();
                MaintenanceSimulation.Violation violation =
                    MaintenanceSimulation.random(seed, steps);
                if (violation != null) {
                  found.compareAndSet(null, violation);
                }
              }
            });
    return new Result(played.get(), found.get());
  }

  /** Every order of so many events from each starting state; two orders are asked for in them. */
  static Result eventSequences(int depth) {
    AtomicReference<MaintenanceSimulation.Violation> found = new AtomicReference<>();
    AtomicLong played = new AtomicLong();
    List<List<MaintenanceSimulation.Event>> starts = starts();
    for (boolean stops : new boolean[] {true, false}) {
      for (List<MaintenanceSimulation.Event> start : starts) {
        List<MaintenanceSimulation.Event> first = replay(stops, 0, start).possible();
        first.parallelStream()
            .forEach(
                event -> {
                  List<MaintenanceSimulation.Event> path = new ArrayList<>(start);
                  path.add(event);
                  descend(stops, path, depth - 1, found, played);
                });
      }
    }
    return new Result(played.get(), found.get());
  }

  /** The same fault after as few events as leaving some out can make it; null stays null. */
  static MaintenanceSimulation.Violation shorten(MaintenanceSimulation.Violation violation) {
    if (violation == null || violation.invariant() == MaintenanceSimulation.Invariant.NOT_STUCK) {
      return violation; // What is left over is told by its text, not by its last events.
    }
    MaintenanceSimulation.Violation shortest = violation;
    for (int piece = Math.max(1, violation.events().size() / 2); piece > 0; piece /= 2) {
      for (int at = 0; at < shortest.events().size(); ) {
        List<MaintenanceSimulation.Event> fewer = new ArrayList<>(shortest.events());
        fewer.subList(at, Math.min(at + piece, fewer.size())).clear();
        MaintenanceSimulation.Violation same =
            replay(shortest.stops(), shortest.limited(), fewer).violation();
        if (same != null && same.invariant() == violation.invariant()) {
          shortest = same;
        } else {
          at += piece;
        }
      }
    }
    return shortest;
  }

  private static MaintenanceSimulation replay(
      boolean stops, int limited, List<MaintenanceSimulation.Event> path) {
    MaintenanceSimulation simulation = new MaintenanceSimulation(stops, limited);
    path.forEach(simulation::play);
    return simulation;
  }

  private static void descend(
      boolean stops,
      List<MaintenanceSimulation.Event> path,
      int depth,
      AtomicReference<MaintenanceSimulation.Violation> found,
      AtomicLong played) {
    if (found.get() != null) {
      return;
    }
    MaintenanceSimulation simulation = replay(stops, 0, path);
    played.incrementAndGet();
    if (simulation.violation() != null) {
      found.compareAndSet(null, simulation.violation());
    } else if (depth > 0) {
      for (MaintenanceSimulation.Event event : simulation.possible()) {
        path.add(event);
        descend(stops, path, depth - 1, found, played);
        path.remove(path.size() - 1);
      }
    }
  }

  /** All inside; a machine being emptied; one out; one out and a call decided; one fenced. */
  private static List<List<MaintenanceSimulation.Event>> starts() {
    List<MaintenanceSimulation.Event> inside = new ArrayList<>();
    round(inside);
    round(inside);
    List<MaintenanceSimulation.Event> emptying = new ArrayList<>(inside);
    emptying.add(event(MaintenanceSimulation.Kind.DECIDE, 4));
    emptying.add(event(MaintenanceSimulation.Kind.WRITE, 1));
    emptying.add(event(MaintenanceSimulation.Kind.ASK, 0));
    emptying.add(event(MaintenanceSimulation.Kind.ASK, 3));
    List<MaintenanceSimulation.Event> stopped = new ArrayList<>(inside);
    stopped.add(event(MaintenanceSimulation.Kind.DECIDE, 8));
    stopped.add(event(MaintenanceSimulation.Kind.PAUSE, 2));
    stopped.add(event(MaintenanceSimulation.Kind.ASK, 0));
    List<MaintenanceSimulation.Event> fenced = new ArrayList<>(stopped);
    for (int i = 0; i < 14; i++) {
      round(fenced);
    }
    List<MaintenanceSimulation.Event> out = new ArrayList<>(emptying);
    out.add(event(MaintenanceSimulation.Kind.END, 1));
    round(out);
    round(out);
    round(out);
    return List.of(inside, emptying, stopped, fenced, out);
  }

  /** A while in which all that can goes its way. */
  private static void round(List<MaintenanceSimulation.Event> path) {
    path.add(event(MaintenanceSimulation.Kind.PASS, 120));
    for (int i = 0; i < 3; i++) {
      path.add(event(MaintenanceSimulation.Kind.STEP, i));
    }
    // What there is of it; an event that cannot happen is passed over.
    for (int i = 0; i < 6; i++) {
      path.add(event(MaintenanceSimulation.Kind.APPEND, 0));
    }
    for (int k = 0; k < 6; k++) {
      for (int i = 0; i < 3; i++) {
        path.add(event(MaintenanceSimulation.Kind.TAKE, i));
      }
    }
  }

  private static MaintenanceSimulation.Event event(MaintenanceSimulation.Kind kind, int at) {
    return new MaintenanceSimulation.Event(kind, at);
  }
}
