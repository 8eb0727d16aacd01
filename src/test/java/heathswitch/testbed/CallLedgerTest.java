package heathswitch.testbed;

import static org.junit.jupiter.api.Assertions.assertEquals;

import heathswitch.testbed.client.CallLedger;
import heathswitch.testbed.client.LoadStats;
import org.junit.jupiter.api.Test;

/** Checks that the ledger used by the measurements detects each kind of fault. */
class CallLedgerTest {
  private final CallLedger ledger = new CallLedger();

  private void call(String id, int runs, LoadStats.Result result) {
    for (int i = 0; i < runs; i++) {
      ledger.recordRun(id);
    }
    if (result != null) {
      ledger.recordResult(id, result);
    }
  }

  @Test
  void correctCallsCountAsNoFault() {
    call("a", 1, LoadStats.Result.SERVED);
    call("b", 0, LoadStats.Result.REFUSED);
    call("safe", 2, LoadStats.Result.SERVED);
    assertEquals(0, ledger.lostCount());
    assertEquals(0, ledger.duplicateRunCount(id -> !id.equals("safe")));
    assertEquals(0, ledger.falseResultCount(id -> !id.equals("safe")));
  }

  /** The number of runs equals the number of calls, so a sum would hide both faults. */
  @Test
  void aDuplicateRunIsDetectedAlthoughAnotherCallWasLost() {
    call("twice", 2, LoadStats.Result.SERVED);
    call("never", 0, LoadStats.Result.LOST);
    assertEquals(1, ledger.duplicateRunCount(id -> true));
    assertEquals(1, ledger.lostCount());
  }

  @Test
  void aRunWithoutAClientResultIsLost() {
    call("open", 1, null);
    assertEquals(1, ledger.lostCount());
  }

  @Test
  void anAnswerWithoutARunAndARefusalAfterARunAreFalseResults() {
    call("invented", 0, LoadStats.Result.SERVED);
    call("ran and refused", 1, LoadStats.Result.REFUSED);
    assertEquals(2, ledger.falseResultCount(id -> true));
  }

  @Test
  void onlyCallsThatMatchThePredicateCountAsLost() {
    call("here", 1, LoadStats.Result.LOST);
    call("there", 1, LoadStats.Result.LOST);
    assertEquals(1, ledger.lostCount(id -> id.equals("here")));
  }
}
