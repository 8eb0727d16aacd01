package heathswitch.policy.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Admission of calls from peer sites, in virtual time. */
class PeerAdmissionTest {
  private static final long MS = 1_000_000L;
  private static final long SECOND = 1000 * MS;

  private final Gateway gateway = new Gateway("bangkok", GatewayTest.CLASSES, 7);
  private long now = 100 * SECOND;

  private int admitAll() {
    int admitted = 0;
    while (gateway.tryAdmit(now)) {
      admitted++;
    }
    return admitted;
  }

  private void endCalls(int count, long tookMillis, boolean served) {
    for (int i = 0; i < count; i++) {
      gateway.onAdmittedEnd(now, now - tookMillis * MS, GatewayTest.VIEW, served);
    }
  }

  private void serveLocally(int count, double meanMillis, SplittableRandom random) {
    for (int i = 0; i < count; i++) {
      double millis = random == null ? meanMillis : -meanMillis * Math.log(1 - random.nextDouble());
      gateway.onLocalAnswer(now, GatewayTest.VIEW, (long) (millis * MS));
      now += 5 * MS;
    }
  }

  @Test
  void admittedCallsAreLimitedAndReleasedWhenTheyEnd() {
    int admitted = admitAll();
    assertTrue(admitted > 0 && admitted < 100, "admitted " + admitted);
    assertEquals(0, gateway.room(now));
    endCalls(admitted, 40, true);
    assertEquals(0, gateway.admittedCalls());
    assertTrue(gateway.room(now) >= admitted);
  }

  /** Clients of the site itself have priority over peer sites. */
  @Test
  void admitsNothingForAWhileAfterRefusingAnOwnCall() {
    gateway.onLocalRefusal(now, true);
    assertEquals(0, gateway.room(now));
    assertFalse(gateway.tryAdmit(now));
    now += PeerAdmission.REFUSAL_HOLD_NANOS;
    assertEquals(1, gateway.room(now), "admission resumes with a single call");
    assertEquals(1, admitAll());
  }

  @Test
  void refusalOfAPeerCallOnlyCutsTheWindow() {
    gateway.onLocalRefusal(now, false);
    assertEquals(1, gateway.room(now));
  }

  /** The delay of its servers doubles, although nothing was refused yet. */
  @Test
  void congestedSiteAdmitsNothing() {
    serveLocally(300, 40, null);
    assertFalse(gateway.isCongested(now));
    assertTrue(gateway.room(now) > 0);
    serveLocally(200, 90, null);
    assertTrue(gateway.isCongested(now));
    assertEquals(0, gateway.room(now));
    serveLocally(2000, 42, null);
    assertFalse(gateway.isCongested(now));
  }

  /** An almost full site looks uncongested in each lull; the long mean still shows congestion. */
  @Test
  void shortLullsDoNotEndCongestion() {
    serveLocally(1000, 40, null);
    for (int i = 0; i < 20; i++) {
      serveLocally(150, 75, null);
      serveLocally(60, 45, null);
    }
    assertTrue(gateway.isCongested(now));
    assertEquals(0, gateway.room(now));
  }

  /** Exponentially distributed service times around a constant mean. */
  @Test
  void randomServiceTimesRarelyCountAsCongestion() {
    SplittableRandom random = new SplittableRandom(5);
    serveLocally(1000, 40, random);
    int congested = 0;
    for (int i = 0; i < 20_000; i++) {
      serveLocally(1, 40, random);
      congested += gateway.isCongested(now) ? 1 : 0;
    }
    assertTrue(congested < 400, "congested in " + congested + " of 20,000 checks");
  }

  @Test
  void congestionEndsWithoutRecentSamples() {
    serveLocally(300, 40, null);
    serveLocally(300, 100, null);
    assertTrue(gateway.isCongested(now));
    now += 3 * SECOND;
    assertFalse(gateway.isCongested(now));
  }
}
