package heathswitch.testbed;

import static org.junit.jupiter.api.Assertions.assertEquals;

import heathswitch.testbed.client.Ledger;
import heathswitch.testbed.client.Tally;
import org.junit.jupiter.api.Test;

/** What the measurements check by, with faults put in: each of them can fall short. */
class ChecksTest {
  private final Ledger ledger = new Ledger();

  private void call(String id, int runs, Tally.Result result) {
    for (int i = 0; i < runs; i++) {
      ledger.ran(id);
    }
    if (result != null) {
      ledger.ended(id, result);
    }
  }

  @Test
  void aSoundRunHasNoFaults() {
    call("a", 1, Tally.Result.SERVED);
    call("b", 0, Tally.Result.REFUSED);
    call("safe", 2, Tally.Result.SERVED);
    assertEquals(0, ledger.lost());
    assertEquals(0, ledger.doubles(id -> !id.equals("safe")));
    assertEquals(0, ledger.untrue(id -> !id.equals("safe")));
  }

  /** As many runs as calls, and two faults all the same: a sum would not show either. */
  @Test
  void oneCallRunTwiceShowsThoughAnotherWasLost() {
    call("twice", 2, Tally.Result.SERVED);
    call("never", 0, Tally.Result.LOST);
    assertEquals(1, ledger.doubles(id -> true));
    assertEquals(1, ledger.lost());
  }

  @Test
  void aRunThatNoClientEndsIsLost() {
    call("open", 1, null);
    assertEquals(1, ledger.lost());
  }

  @Test
  void anAnswerOfNobodyAndARefusalAfterARunAreUntrue() {
    call("invented", 0, Tally.Result.SERVED);
    call("ran and refused", 1, Tally.Result.REFUSED);
    assertEquals(2, ledger.untrue(id -> true));
  }

  @Test
  void onlyTheCallsThatAreNamedCountAsLost() {
    call("here", 1, Tally.Result.LOST);
    call("there", 1, Tally.Result.LOST);
    assertEquals(1, ledger.lost(id -> id.equals("here")));
  }
}
