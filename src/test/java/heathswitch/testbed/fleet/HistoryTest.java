package heathswitch.testbed.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Checks that the history of a fleet detects calls at machines that are out. */
class HistoryTest {
  private final History history = new History();

  private void call(String server) {
    history.onRequest(server, "/api/view-1", System.nanoTime());
  }

  @Test
  void callsBeforeAndAfterAnOutPeriodAreNoBreaches() {
    call("a");
    history.recordOut("a");
    call("b");
    history.recordBack("a");
    call("a");
    assertEquals(0, history.breaches().size());
  }

  @Test
  void aCallAtAMachineThatIsOutIsOneBreach() {
    history.recordOut("a");
    history.recordOut("a");
    call("a");
    assertEquals(1, history.breaches().size());
    assertEquals(1, history.outCount());
  }

  @Test
  void countsTheMachinesThatAreOutAtTheSameTime() {
    history.recordOut("a");
    history.recordOut("b");
    history.recordBack("a");
    history.recordOut("c");
    assertEquals(2, history.maxConcurrentOut());
  }
}
