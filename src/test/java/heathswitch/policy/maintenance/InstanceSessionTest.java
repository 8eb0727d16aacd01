package heathswitch.policy.maintenance;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** One instance's lease, by what it is told and when. */
class InstanceSessionTest {
  private static final long MILLI = 1_000_000L;
  private static final MaintenanceRules RULES = new MaintenanceRules(1, 1000, 100, 1, 1, List.of());

  /** What it can see; its own log is as far as the test says. */
  private static final class Seen implements InstanceSession.LocalView {
    long index = 5;
    boolean due;
    boolean deaf;

    @Override
    public long latestIncarnation() {
      return 0;
    }

    @Override
    public boolean hasJoined(long as) {
      return true;
    }

    @Override
    public long appliedIndex() {
      return index;
    }

    @Override
    public CapacityReport capacityReport() {
      return null;
    }

    @Override
    public boolean idle() {
      return true;
    }

    @Override
    public List<MaintenanceState.AwayMachine> drainedMachines() {
      return List.of();
    }

    @Override
    public long leaseMillis() {
      return RULES.leaseMillis();
    }

    @Override
    public boolean mustLeave() {
      return false;
    }

    @Override
    public boolean clientsGone() {
      return false;
    }

    @Override
    public boolean expiryDue() {
      return due;
    }

    @Override
    public boolean logStopped() {
      return deaf;
    }

    @Override
    public long newIncarnation() {
      return 7;
    }
  }

  private final Seen here = new Seen();
  private final InstanceSession one =
      new InstanceSession("a", true, 100, RULES, FormatSupport.UNSTATED);

  private Command inside() {
    Command join = one.step(0, here).get(0);
    one.onResult(join, CommandResult.ok(0), 0, here);
    one.step(0, here);
    return one.step(0, here).get(0);
  }

  /** Told twice of one renewal, the second time that nothing is known: no other may follow yet. */
  @Test
  void aLeaseRunsFromTheRenewalThatWasTaken() {
    Command renewal = inside();
    one.onResult(renewal, CommandResult.ok(6), MILLI, here);
    one.onResult(renewal, null, MILLI, here);
    assertEquals(List.of(), one.step(700 * MILLI, here), "its own log has not taken that one");
    here.index = 6;
    one.step(701 * MILLI, here);
    assertTrue(one.maySend(999 * MILLI));
    assertFalse(one.maySend(1000 * MILLI), "said at 0, for 1000 ms");
  }

  /** Once in 100 ms at most, however long what is due stays so. */
  @Test
  void whoeverLeadsRenewsEarlyWhereSomethingIsDue() {
    one.onResult(inside(), CommandResult.ok(5), MILLI, here);
    assertEquals(List.of(), one.step(120 * MILLI, here), "a quarter of the lease is 250 ms");
    here.due = true;
    Command early = one.step(121 * MILLI, here).get(0);
    one.onResult(early, CommandResult.ok(5), 122 * MILLI, here);
    assertEquals(List.of(), one.step(220 * MILLI, here));
    assertEquals(1, one.step(221 * MILLI, here).size());
  }

  /** It hears of no grant, so each renewal would have the others wait for it once more. */
  @Test
  void oneWhoseLogHasStoppedRenewsNoMore() {
    one.onResult(inside(), CommandResult.ok(5), MILLI, here);
    here.deaf = true;
    here.due = true;
    for (long at = 0; at < 4000; at += 5) {
      assertEquals(List.of(), one.step(at * MILLI, here));
    }
    assertFalse(one.maySend(1000 * MILLI));
  }

  /** Whatever its own log does not take, the others count it as cut off. */
  @Test
  void oneWhoseLogStandsStillRenewsNoMore() {
    Command renewal = inside();
    one.onResult(renewal, CommandResult.ok(6), MILLI, here);
    for (long at = 0; at < 4000; at += 5) {
      assertEquals(List.of(), one.step(at * MILLI, here));
    }
    assertFalse(one.maySend(4000 * MILLI));
    assertTrue(one.isLogStalled(4000 * MILLI));
  }
}
