package heathswitch.testbed.maintenance;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.LongStream;

/** Many schedules of faults by seeds, and every order of a few events from states that matter. */
final class WorkExplorer {
  private WorkExplorer() {}

  /** What was played, and the first property that did not hold, or null. */
  record Played(long schedules, World.Finding finding) {}

  /** So many schedules, each by a seed of its own, on all cores. */
  static Played random(long from, long schedules, int steps) {
    AtomicReference<World.Finding> found = new AtomicReference<>();
    AtomicLong played = new AtomicLong();
    LongStream.range(from, from + schedules)
        .parallel()
        .forEach(
            seed -> {
              if (found.get() == null) {
                played.incrementAndGet();
                World.Finding finding = World.random(seed, steps);
                if (finding != null) {
                  found.compareAndSet(null, finding);
                }
              }
            });
    return new Played(played.get(), found.get());
  }

  /** Every order of so many events from each starting state; two orders are asked for in them. */
  static Played orders(int depth) {
    AtomicReference<World.Finding> found = new AtomicReference<>();
    AtomicLong played = new AtomicLong();
    List<List<World.Event>> starts = starts();
    for (boolean stops : new boolean[] {true, false}) {
      for (List<World.Event> start : starts) {
        List<World.Event> first = replay(stops, 0, start).possible();
        first.parallelStream()
            .forEach(
                event -> {
                  List<World.Event> path = new ArrayList<>(start);
                  path.add(event);
                  descend(stops, path, depth - 1, found, played);
                });
      }
    }
    return new Played(played.get(), found.get());
  }

  /** The same fault after as few events as leaving some out can make it; null stays null. */
  static World.Finding shortened(World.Finding finding) {
    if (finding == null || finding.property() == World.Property.NOT_STUCK) {
      return finding; // What is left over is told by its text, not by its last events.
    }
    World.Finding shortest = finding;
    for (int piece = Math.max(1, finding.events().size() / 2); piece > 0; piece /= 2) {
      for (int at = 0; at < shortest.events().size(); ) {
        List<World.Event> fewer = new ArrayList<>(shortest.events());
        fewer.subList(at, Math.min(at + piece, fewer.size())).clear();
        World.Finding same = replay(shortest.stops(), shortest.limited(), fewer).finding();
        if (same != null && same.property() == finding.property()) {
          shortest = same;
        } else {
          at += piece;
        }
      }
    }
    return shortest;
  }

  private static World replay(boolean stops, int limited, List<World.Event> path) {
    World world = new World(stops, limited);
    path.forEach(world::play);
    return world;
  }

  private static void descend(
      boolean stops,
      List<World.Event> path,
      int depth,
      AtomicReference<World.Finding> found,
      AtomicLong played) {
    if (found.get() != null) {
      return;
    }
    World world = replay(stops, 0, path);
    played.incrementAndGet();
    if (world.finding() != null) {
      found.compareAndSet(null, world.finding());
    } else if (depth > 0) {
      for (World.Event event : world.possible()) {
        path.add(event);
        descend(stops, path, depth - 1, found, played);
        path.remove(path.size() - 1);
      }
    }
  }

  /** All inside; a machine being emptied; one out; one out and a call decided; one fenced. */
  private static List<List<World.Event>> starts() {
    List<World.Event> inside = new ArrayList<>();
    round(inside);
    round(inside);
    List<World.Event> emptying = new ArrayList<>(inside);
    emptying.add(event(World.Kind.DECIDE, 4));
    emptying.add(event(World.Kind.WRITE, 1));
    emptying.add(event(World.Kind.ASK, 0));
    emptying.add(event(World.Kind.ASK, 3));
    List<World.Event> stopped = new ArrayList<>(inside);
    stopped.add(event(World.Kind.DECIDE, 8));
    stopped.add(event(World.Kind.PAUSE, 2));
    stopped.add(event(World.Kind.ASK, 0));
    List<World.Event> fenced = new ArrayList<>(stopped);
    for (int i = 0; i < 14; i++) {
      round(fenced);
    }
    List<World.Event> out = new ArrayList<>(emptying);
    out.add(event(World.Kind.END, 1));
    round(out);
    round(out);
    round(out);
    return List.of(inside, emptying, stopped, fenced, out);
  }

  /** A while in which all that can goes its way. */
  private static void round(List<World.Event> path) {
    path.add(event(World.Kind.PASS, 120));
    for (int i = 0; i < 3; i++) {
      path.add(event(World.Kind.STEP, i));
    }
    // What there is of it; an event that cannot happen is passed over.
    for (int i = 0; i < 6; i++) {
      path.add(event(World.Kind.APPEND, 0));
    }
    for (int k = 0; k < 6; k++) {
      for (int i = 0; i < 3; i++) {
        path.add(event(World.Kind.TAKE, i));
      }
    }
  }

  private static World.Event event(World.Kind kind, int at) {
    return new World.Event(kind, at);
  }
}
