package heathswitch.policy.members;

import static org.junit.jupiter.api.Assertions.assertEquals;

import heathswitch.policy.members.ServerStateTracker.State;
import heathswitch.policy.members.ServerStateTracker.Update;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * What is told of servers when lists change: drained first, then gone, and cold after a restart.
 */
class ServerStateTrackerTest {
  private static final long DRAIN = 1000;

  private final ServerStateTracker departures = new ServerStateTracker(2);

  private static ListedServer server(String id, int port, boolean on) {
    return new ListedServer(id, "127.0.0.1:" + port, "a", "k", 0, 1, on);
  }

  private static final ListedServer ONE = server("s-1", 1, true);
  private static final ListedServer TWO = server("s-2", 2, true);
  private static final ListedServer THREE = server("s-3", 3, true);

  @Test
  void theFirstListIsWarm() {
    ListedServer off = server("s-4", 4, false);
    assertEquals(
        List.of(new Update(ONE, State.READY, 0), new Update(off, State.DRAINING, 0)),
        departures.begin(List.of(ONE, off)));
  }

  @Test
  void oneThatLeavesIsDrainedAndThenGone() {
    departures.begin(List.of(ONE, TWO));
    assertEquals(
        List.of(new Update(TWO, State.DRAINING, 0)), departures.accept(500, DRAIN, List.of(ONE)));
    assertEquals(1, departures.leaving());
    assertEquals(List.of(), departures.tick(1499));
    assertEquals(List.of(new Update(TWO, State.GONE, 0)), departures.tick(1500));
    assertEquals(List.of(), departures.tick(9999));
    assertEquals(0, departures.leaving());
  }

  @Test
  void arrivalsAreColdAndComeBeforeThoseThatLeave() {
    departures.begin(List.of(ONE));
    assertEquals(
        List.of(new Update(TWO, State.READY, 500), new Update(ONE, State.DRAINING, 0)),
        departures.accept(500, DRAIN, List.of(TWO)));
  }

  @Test
  void oneThatComesBackWhileItDrainsGoesOn() {
    departures.begin(List.of(ONE, TWO));
    departures.accept(500, DRAIN, List.of(ONE));
    assertEquals(
        List.of(new Update(TWO, State.READY, 0)), departures.accept(900, DRAIN, List.of(ONE, TWO)));
    assertEquals(List.of(), departures.tick(9999));
  }

  @Test
  void anotherAddressIsARestart() {
    departures.begin(List.of(ONE));
    ListedServer moved = server("s-1", 9, true);
    assertEquals(
        List.of(new Update(moved, State.READY, 700)),
        departures.accept(700, DRAIN, List.of(moved)));
    ListedServer heavier = new ListedServer("s-1", "127.0.0.1:9", "a", "k", 0, 3, true);
    assertEquals(
        List.of(new Update(heavier, State.READY, 700)),
        departures.accept(900, DRAIN, List.of(heavier)),
        "another weight is none");
  }

  @Test
  void oneThatComesBackElsewhereIsARestart() {
    departures.begin(List.of(ONE, TWO));
    departures.accept(500, DRAIN, List.of(ONE));
    ListedServer moved = server("s-2", 9, true);
    assertEquals(
        List.of(new Update(moved, State.READY, 600)),
        departures.accept(600, DRAIN, List.of(ONE, moved)));
  }

  @Test
  void noMoreDrainThanAllowed() {
    ListedServer four = server("s-4", 4, true);
    departures.begin(List.of(ONE, TWO, THREE, four));
    departures.accept(100, DRAIN, List.of(TWO, THREE, four));
    departures.accept(200, DRAIN, List.of(THREE, four));
    List<Update> news = departures.accept(300, DRAIN, List.of(four));
    assertEquals(
        List.of(new Update(THREE, State.DRAINING, 0), new Update(ONE, State.GONE, 0)), news);
    assertEquals(2, departures.leaving());
  }
}
