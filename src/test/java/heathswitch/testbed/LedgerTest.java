package heathswitch.testbed;

import static org.junit.jupiter.api.Assertions.assertEquals;

import heathswitch.testbed.client.Ledger;
import heathswitch.testbed.client.Tally;
import org.junit.jupiter.api.Test;

/** Checks that the ledger used by the measurements detects each kind of fault. */
class LedgerTest {
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
  void correctCallsCountAsNoFault() {
    call("a", 1, Tally.Result.SERVED);
    call("b", 0, Tally.Result.REFUSED);
    call("safe", 2, Tally.Result.SERVED);
    assertEquals(0, ledger.lost());
    assertEquals(0, ledger.doubles(id -> !id.equals("safe")));
    assertEquals(0, ledger.untrue(id -> !id.equals("safe")));
  }

  /** The number of runs equals the number of calls, so a sum would hide both faults. */
  @Test
  void aDuplicateRunIsDetectedAlthoughAnotherCallWasLost() {
    call("twice", 2, Tally.Result.SERVED);
    call("never", 0, Tally.Result.LOST);
    assertEquals(1, ledger.doubles(id -> true));
    assertEquals(1, ledger.lost());
  }

  @Test
  void aRunWithoutAClientResultIsLost() {
    call("open", 1, null);
    assertEquals(1, ledger.lost());
  }

  @Test
  void anAnswerWithoutARunAndARefusalAfterARunAreFalseResults() {
    call("invented", 0, Tally.Result.SERVED);
    call("ran and refused", 1, Tally.Result.REFUSED);
    assertEquals(2, ledger.untrue(id -> true));
  }

  @Test
  void onlyCallsThatMatchThePredicateCountAsLost() {
    call("here", 1, Tally.Result.LOST);
    call("there", 1, Tally.Result.LOST);
    assertEquals(1, ledger.lost(id -> id.equals("here")));
  }
}
