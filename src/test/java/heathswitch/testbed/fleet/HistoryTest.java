package heathswitch.testbed.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** The judge of what several processes did, with faults put in. */
class HistoryTest {
  private final History history = new History();

  private void call(String server) {
    history.arrived(server, "/api/view-1", System.nanoTime());
  }

  @Test
  void callsBeforeAndAfterAreNone() {
    call("a");
    history.out("a");
    call("b");
    history.back("a");
    call("a");
    assertEquals(0, history.breaches().size());
  }

  @Test
  void aCallAtAMachineThatIsOutIsOne() {
    history.out("a");
    history.out("a");
    call("a");
    assertEquals(1, history.breaches().size());
    assertEquals(1, history.outs());
  }

  @Test
  void machinesThatAreOutAtOnceAreCounted() {
    history.out("a");
    history.out("b");
    history.back("a");
    history.out("c");
    assertEquals(2, history.mostOut());
  }
}
