package heathswitch.policy.maintenance;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** One instance's lease, by what it is told and when. */
class ParticipantTest {
  private static final long MILLI = 1_000_000L;
  private static final Rules RULES = new Rules(1, 1000, 100, 1, 1, List.of());

  /** What it can see; its own log is as far as the test says. */
  private static final class Seen implements Participant.Here {
    long index = 5;
    boolean due;
    boolean deaf;

    @Override
    public long incarnation() {
      return 0;
    }

    @Override
    public boolean joined(long as) {
      return true;
    }

    @Override
    public long index() {
      return index;
    }

    @Override
    public Report report() {
      return null;
    }

    @Override
    public boolean idle() {
      return true;
    }

    @Override
    public List<Settled.Away> empty() {
      return List.of();
    }

    @Override
    public long leaseMillis() {
      return RULES.leaseMillis();
    }

    @Override
    public boolean leaves() {
      return false;
    }

    @Override
    public boolean emptied() {
      return false;
    }

    @Override
    public boolean due() {
      return due;
    }

    @Override
    public boolean deaf() {
      return deaf;
    }

    @Override
    public long draw() {
      return 7;
    }
  }

  private final Seen here = new Seen();
  private final Participant one = new Participant("a", true, 100, RULES, Release.OLDEST);

  private Command inside() {
    Command join = one.step(0, here).get(0);
    one.answered(join, Reply.ok(0), 0, here);
    one.step(0, here);
    return one.step(0, here).get(0);
  }

  /** Told twice of one renewal, the second time that nothing is known: no other may follow yet. */
  @Test
  void aLeaseRunsFromTheRenewalThatWasTaken() {
    Command renewal = inside();
    one.answered(renewal, Reply.ok(6), MILLI, here);
    one.answered(renewal, null, MILLI, here);
    assertEquals(List.of(), one.step(700 * MILLI, here), "its own log has not taken that one");
    here.index = 6;
    one.step(701 * MILLI, here);
    assertTrue(one.maySend(999 * MILLI));
    assertFalse(one.maySend(1000 * MILLI), "said at 0, for 1000 ms");
  }

  /** Once in 100 ms at most, however long what is due stays so. */
  @Test
  void whoeverLeadsRenewsEarlyWhereSomethingIsDue() {
    one.answered(inside(), Reply.ok(5), MILLI, here);
    assertEquals(List.of(), one.step(120 * MILLI, here), "a quarter of the lease is 250 ms");
    here.due = true;
    Command early = one.step(121 * MILLI, here).get(0);
    one.answered(early, Reply.ok(5), 122 * MILLI, here);
    assertEquals(List.of(), one.step(220 * MILLI, here));
    assertEquals(1, one.step(221 * MILLI, here).size());
  }

  /** It hears of no grant, so each renewal would have the others wait for it once more. */
  @Test
  void oneWhoseLogHasStoppedRenewsNoMore() {
    one.answered(inside(), Reply.ok(5), MILLI, here);
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
    one.answered(renewal, Reply.ok(6), MILLI, here);
    for (long at = 0; at < 4000; at += 5) {
      assertEquals(List.of(), one.step(at * MILLI, here));
    }
    assertFalse(one.maySend(4000 * MILLI));
    assertTrue(one.standsStill(4000 * MILLI));
  }
}
