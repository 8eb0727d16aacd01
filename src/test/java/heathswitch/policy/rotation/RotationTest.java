package heathswitch.policy.rotation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import heathswitch.policy.api.Health;
import heathswitch.policy.rotation.Rotation.EffectiveState;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** The state of an upstream while it is suspended and after it has been resumed. */
class RotationTest {
  private static final Suspension SUSPENDED = Suspension.suspend(null, "s-1", 1000);
  private static final Suspension RESUMED = Suspension.resume(SUSPENDED, 5000);

  private final Rotation rotation = new Rotation();

  private EffectiveState stateOfReady(long startedMillis, long nowMillis) {
    return rotation.effectiveState("s-1", Health.READY, startedMillis, nowMillis);
  }

  @Test
  void suspendedUpstreamIsDraining() {
    assertEquals(new EffectiveState(Health.READY, 7), stateOfReady(7, 900));
    assertEquals(Set.of("s-1"), rotation.update(Map.of("s-1", SUSPENDED), 1000));
    assertEquals(new EffectiveState(Health.DRAINING, 7), stateOfReady(7, 1001));
    assertEquals(new EffectiveState(Health.DRAINING, 2000), stateOfReady(2000, 900_000));
    assertEquals(Health.GONE, rotation.effectiveState("s-1", Health.GONE, 0, 1).health());
    assertEquals(Health.READY, rotation.effectiveState("s-2", Health.READY, 0, 1).health());
    assertEquals(1, rotation.suspendedCount());
  }

  /** A resumed upstream may have restarted, and discovery may not have reported it yet. */
  @Test
  void resumedUpstreamIsColdUntilDiscoveryCouldReportItsStart() {
    rotation.update(Map.of("s-1", RESUMED), 5000);
    assertEquals(new EffectiveState(Health.READY, 5000), stateOfReady(7, 5001));
    assertEquals(
        Set.of(), rotation.update(Map.of("s-1", RESUMED), 5000 + Rotation.DISCOVERY_LAG_MILLIS));
    long later = 5001 + Rotation.DISCOVERY_LAG_MILLIS;
    assertEquals(Set.of("s-1"), rotation.update(Map.of("s-1", RESUMED), later));
    assertEquals(new EffectiveState(Health.READY, 7), stateOfReady(7, later));
    assertEquals(Set.of(), rotation.update(Map.of("s-1", RESUMED), later));
  }

  /** Upstreams are replaced under new ids while a balancer runs; old ones must not accumulate. */
  @Test
  void forgetsPresumedRestartWhenSuspensionIsRemoved() {
    rotation.update(Map.of("s-1", RESUMED), 5000);
    stateOfReady(7, 5001);
    assertEquals(1, rotation.presumedCount());
    assertEquals(Set.of("s-1"), rotation.update(Map.of(), 5002));
    assertEquals(0, rotation.presumedCount());
    assertEquals(Set.of(), rotation.update(Map.of(), 5003));
  }

  @Test
  void reportedStartAfterSuspensionIsUsed() {
    rotation.update(Map.of("s-1", RESUMED), 5000);
    assertEquals(new EffectiveState(Health.READY, 3000), stateOfReady(3000, 5001));
    assertEquals(
        Set.of(), rotation.update(Map.of("s-1", RESUMED), 99_000), "no restart is presumed");
  }

  @Test
  void removedSuspensionRestoresListedState() {
    rotation.update(Map.of("s-1", SUSPENDED), 1000);
    assertEquals(Set.of("s-1"), rotation.update(Map.of(), 1001));
    assertEquals(new EffectiveState(Health.READY, 7), stateOfReady(7, 1002));
  }

  @Test
  void oneResumeUndoesRepeatedSuspends() {
    Suspension twice = Suspension.suspend(SUSPENDED, "s-1", 3000);
    assertEquals(SUSPENDED, twice);
    assertFalse(Suspension.resume(twice, 5000).isSuspended());
    assertEquals(RESUMED, Suspension.resume(RESUMED, 9000), "a second resume changes nothing");
    assertNull(Suspension.resume(null, 9000));
    assertTrue(Suspension.suspend(RESUMED, "s-1", 9000).isSuspended());
  }

  /** If the clock is set back meanwhile, the resume still must not precede the suspension. */
  @Test
  void resumeIsNeverBeforeSuspend() {
    assertEquals(1000, Suspension.resume(SUSPENDED, 10).resumedMillis());
  }

  @Test
  void invalidIdsAreRejected() {
    assertFalse(Suspension.isValidId(""));
    assertFalse(Suspension.isValidId("a\nb"));
    assertFalse(Suspension.isValidId("é"));
    assertFalse(Suspension.isValidId("x".repeat(Suspension.MAX_ID_LENGTH + 1)));
    assertTrue(Suspension.isValidId("../s 1/%"));
    assertThrows(IllegalArgumentException.class, () -> new Suspension("a\nb", 1, 0));
  }
}
