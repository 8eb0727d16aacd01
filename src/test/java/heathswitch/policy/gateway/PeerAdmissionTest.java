package heathswitch.policy.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** What a site takes of others, in virtual time. */
class PeerAdmissionTest {
  private static final long MS = 1_000_000L;
  private static final long SECOND = 1000 * MS;

  private final Gateway gateway = new Gateway("bangkok", GatewayTest.CLASSES, 7);
  private long now = 100 * SECOND;

  private int takeAll() {
    int taken = 0;
    while (gateway.tryAdmit(now)) {
      taken++;
    }
    return taken;
  }

  private void end(int count, long tookMillis, boolean served) {
    for (int i = 0; i < count; i++) {
      gateway.onAdmittedEnd(now, now - tookMillis * MS, GatewayTest.VIEW, served);
    }
  }

  private void servedHere(int count, double meanMillis, SplittableRandom random) {
    for (int i = 0; i < count; i++) {
      double millis = random == null ? meanMillis : -meanMillis * Math.log(1 - random.nextDouble());
      gateway.onLocalAnswer(now, GatewayTest.VIEW, (long) (millis * MS));
      now += 5 * MS;
    }
  }

  @Test
  void whatIsTakenIsBoundedAndGivenBack() {
    int taken = takeAll();
    assertTrue(taken > 0 && taken < 100, "taken " + taken);
    assertEquals(0, gateway.room(now));
    end(taken, 40, true);
    assertEquals(0, gateway.admittedCalls());
    assertTrue(gateway.room(now) >= taken);
  }

  /** Its own callers come first: one of them turned away, and nothing is taken for a while. */
  @Test
  void afterARefusalOfItsOwnNothingIsTaken() {
    gateway.onLocalRefusal(now, true);
    assertEquals(0, gateway.room(now));
    assertFalse(gateway.tryAdmit(now));
    now += PeerAdmission.REFUSAL_HOLD_NANOS;
    assertEquals(1, gateway.room(now), "and then one by one");
    assertEquals(1, takeAll());
  }

  @Test
  void aRefusalOfAnotherSitesCallCutsTheWindowAlone() {
    gateway.onLocalRefusal(now, false);
    assertEquals(1, gateway.room(now));
  }

  /** Before anybody is turned away: its servers take twice what they take at ease. */
  @Test
  void aStrainedSiteTakesNothing() {
    servedHere(300, 40, null);
    assertFalse(gateway.isCongested(now));
    assertTrue(gateway.room(now) > 0);
    servedHere(200, 90, null);
    assertTrue(gateway.isCongested(now));
    assertEquals(0, gateway.room(now));
    servedHere(2000, 42, null);
    assertFalse(gateway.isCongested(now));
  }

  /** A site near full looks at ease in each lull; what it takes in the long run shows it. */
  @Test
  void aLullIsNoEase() {
    servedHere(1000, 40, null);
    for (int i = 0; i < 20; i++) {
      servedHere(150, 75, null);
      servedHere(60, 45, null);
    }
    assertTrue(gateway.isCongested(now));
    assertEquals(0, gateway.room(now));
  }

  /** Times that vary as much as their mean are no strain. */
  @Test
  void chanceIsNoStrain() {
    SplittableRandom random = new SplittableRandom(5);
    servedHere(1000, 40, random);
    int isCongested = 0;
    for (int i = 0; i < 20_000; i++) {
      servedHere(1, 40, random);
      isCongested += gateway.isCongested(now) ? 1 : 0;
    }
    assertTrue(isCongested < 400, "strained " + isCongested + " of 20,000 looks");
  }

  @Test
  void whatHasNotBeenSeenOfLateSaysNothing() {
    servedHere(300, 40, null);
    servedHere(300, 100, null);
    assertTrue(gateway.isCongested(now));
    now += 3 * SECOND;
    assertFalse(gateway.isCongested(now));
  }
}
