package heathswitch.policy.maintenance;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the lease of an instance under late, repeated and missing results. */
class InstanceSessionTest {
  private static final long MILLI = 1_000_000L;
  private static final MaintenanceRules RULES = new MaintenanceRules(1, 1000, 100, 1, 1, List.of());

  /** A local view whose applied index and log state are set by the test. */
  private static final class FakeView implements InstanceSession.LocalView {
    long appliedIndex = 5;
    boolean expiryDue;
    boolean logStopped;

    @Override
    public long latestIncarnation() {
      return 0;
    }

    @Override
    public boolean hasJoined(long incarnation) {
      return true;
    }

    @Override
    public long appliedIndex() {
      return appliedIndex;
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
      return expiryDue;
    }

    @Override
    public boolean logStopped() {
      return logStopped;
    }

    @Override
    public long newIncarnation() {
      return 7;
    }
  }

  private final FakeView local = new FakeView();
  private final InstanceSession session =
      new InstanceSession("a", true, 100, RULES, FormatSupport.UNSTATED);

  /** Joins and returns the first renewal. */
  private Command joinAndRenew() {
    Command join = session.step(0, local).get(0);
    session.onResult(join, CommandResult.accepted(0), 0, local);
    session.step(0, local);
    return session.step(0, local).get(0);
  }

  /** A second, unknown result of the same renewal must not trigger another renewal. */
  @Test
  void leaseStartsWhenTheAcceptedRenewalWasSent() {
    Command renewal = joinAndRenew();
    session.onResult(renewal, CommandResult.accepted(6), MILLI, local);
    session.onResult(renewal, null, MILLI, local);
    assertEquals(
        List.of(),
        session.step(700 * MILLI, local),
        "the local log has not applied the renewal yet");
    local.appliedIndex = 6;
    session.step(701 * MILLI, local);
    assertTrue(session.maySend(999 * MILLI));
    assertFalse(session.maySend(1000 * MILLI), "renewed at 0 for 1000 ms");
  }

  /** At most once in 100 ms, however long the expiry stays due. */
  @Test
  void leaderRenewsEarlyWhenAnExpiryIsDue() {
    session.onResult(joinAndRenew(), CommandResult.accepted(5), MILLI, local);
    assertEquals(List.of(), session.step(120 * MILLI, local), "a quarter of the lease is 250 ms");
    local.expiryDue = true;
    Command early = session.step(121 * MILLI, local).get(0);
    session.onResult(early, CommandResult.accepted(5), 122 * MILLI, local);
    assertEquals(List.of(), session.step(220 * MILLI, local));
    assertEquals(1, session.step(221 * MILLI, local).size());
  }

  /** The instance sees no grants, so with each renewal the others would wait for it again. */
  @Test
  void instanceDoesNotRenewWhenItsLogHasStopped() {
    session.onResult(joinAndRenew(), CommandResult.accepted(5), MILLI, local);
    local.logStopped = true;
    local.expiryDue = true;
    for (long at = 0; at < 4000; at += 5) {
      assertEquals(List.of(), session.step(at * MILLI, local));
    }
    assertFalse(session.maySend(1000 * MILLI));
  }

  /** Without further renewals the others count the instance as cut off. */
  @Test
  void instanceDoesNotRenewWhenItsLogIsStalled() {
    Command renewal = joinAndRenew();
    session.onResult(renewal, CommandResult.accepted(6), MILLI, local);
    for (long at = 0; at < 4000; at += 5) {
      assertEquals(List.of(), session.step(at * MILLI, local));
    }
    assertFalse(session.maySend(4000 * MILLI));
    assertTrue(session.isLogStalled(4000 * MILLI));
  }
}
