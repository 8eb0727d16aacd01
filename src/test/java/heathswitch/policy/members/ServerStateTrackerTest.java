package heathswitch.policy.members;

import static org.junit.jupiter.api.Assertions.assertEquals;

import heathswitch.policy.members.ServerStateTracker.State;
import heathswitch.policy.members.ServerStateTracker.Update;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * The state updates of servers when the list changes: removed servers drain before they are gone,
 * and new or restarted ones are cold.
 */
class ServerStateTrackerTest {
  private static final long DRAIN = 1000;

  private final ServerStateTracker tracker = new ServerStateTracker(2);

  private static ListedServer server(String id, int port, boolean inService) {
    return new ListedServer(id, "127.0.0.1:" + port, "a", "k", 0, 1, inService);
  }

  private static final ListedServer ONE = server("s-1", 1, true);
  private static final ListedServer TWO = server("s-2", 2, true);
  private static final ListedServer THREE = server("s-3", 3, true);

  @Test
  void initializeReportsServersAsStartedLongAgo() {
    ListedServer terminating = server("s-4", 4, false);
    assertEquals(
        List.of(new Update(ONE, State.READY, 0), new Update(terminating, State.DRAINING, 0)),
        tracker.initialize(List.of(ONE, terminating)));
  }

  @Test
  void removedServerDrainsUntilItsDrainTimeIsOver() {
    tracker.initialize(List.of(ONE, TWO));
    assertEquals(
        List.of(new Update(TWO, State.DRAINING, 0)), tracker.apply(500, DRAIN, List.of(ONE)));
    assertEquals(1, tracker.drainingCount());
    assertEquals(List.of(), tracker.expire(1499));
    assertEquals(List.of(new Update(TWO, State.GONE, 0)), tracker.expire(1500));
    assertEquals(List.of(), tracker.expire(9999));
    assertEquals(0, tracker.drainingCount());
  }

  @Test
  void addedServersStartNowAndPrecedeRemovedServers() {
    tracker.initialize(List.of(ONE));
    assertEquals(
        List.of(new Update(TWO, State.READY, 500), new Update(ONE, State.DRAINING, 0)),
        tracker.apply(500, DRAIN, List.of(TWO)));
  }

  @Test
  void serverThatReturnsWhileDrainingKeepsItsStartTime() {
    tracker.initialize(List.of(ONE, TWO));
    tracker.apply(500, DRAIN, List.of(ONE));
    assertEquals(
        List.of(new Update(TWO, State.READY, 0)), tracker.apply(900, DRAIN, List.of(ONE, TWO)));
    assertEquals(List.of(), tracker.expire(9999));
  }

  @Test
  void changedAddressCountsAsRestartButChangedWeightDoesNot() {
    tracker.initialize(List.of(ONE));
    ListedServer moved = server("s-1", 9, true);
    assertEquals(
        List.of(new Update(moved, State.READY, 700)), tracker.apply(700, DRAIN, List.of(moved)));
    ListedServer heavier = new ListedServer("s-1", "127.0.0.1:9", "a", "k", 0, 3, true);
    assertEquals(
        List.of(new Update(heavier, State.READY, 700)),
        tracker.apply(900, DRAIN, List.of(heavier)),
        "a changed weight is no restart");
  }

  @Test
  void serverThatReturnsAtAnotherAddressCountsAsRestarted() {
    tracker.initialize(List.of(ONE, TWO));
    tracker.apply(500, DRAIN, List.of(ONE));
    ListedServer moved = server("s-2", 9, true);
    assertEquals(
        List.of(new Update(moved, State.READY, 600)),
        tracker.apply(600, DRAIN, List.of(ONE, moved)));
  }

  @Test
  void serversThatLeftFirstAreGoneIfTooManyDrain() {
    ListedServer four = server("s-4", 4, true);
    tracker.initialize(List.of(ONE, TWO, THREE, four));
    tracker.apply(100, DRAIN, List.of(TWO, THREE, four));
    tracker.apply(200, DRAIN, List.of(THREE, four));
    List<Update> updates = tracker.apply(300, DRAIN, List.of(four));
    assertEquals(
        List.of(new Update(THREE, State.DRAINING, 0), new Update(ONE, State.GONE, 0)), updates);
    assertEquals(2, tracker.drainingCount());
  }
}
