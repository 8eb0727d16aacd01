package heathswitch.policy.rotation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import heathswitch.policy.api.Health;
import heathswitch.policy.rotation.Rotation.Standing;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** What a listing means while operators have taken its upstream out, and after they put it back. */
class RotationTest {
  private static final Mark OUT = Mark.suspend(null, "s-1", 1000);
  private static final Mark BACK = Mark.resume(OUT, 5000);

  private final Rotation rotation = new Rotation();

  private Standing ready(long startedMillis, long nowMillis) {
    return rotation.standing("s-1", Health.READY, startedMillis, nowMillis);
  }

  @Test
  void outIsDrainingWhateverIsListed() {
    assertEquals(new Standing(Health.READY, 7), ready(7, 900));
    assertEquals(Set.of("s-1"), rotation.update(Map.of("s-1", OUT), 1000));
    assertEquals(new Standing(Health.DRAINING, 7), ready(7, 1001));
    assertEquals(new Standing(Health.DRAINING, 2000), ready(2000, 900_000));
    assertEquals(Health.GONE, rotation.standing("s-1", Health.GONE, 0, 1).health());
    assertEquals(Health.READY, rotation.standing("s-2", Health.READY, 0, 1).health());
    assertEquals(1, rotation.out());
  }

  /** It comes back cold, and discovery may not know that yet. */
  @Test
  void backIsColdUntilDiscoveryCouldHaveTold() {
    rotation.update(Map.of("s-1", BACK), 5000);
    assertEquals(new Standing(Health.READY, 5000), ready(7, 5001));
    assertEquals(Set.of(), rotation.update(Map.of("s-1", BACK), 5000 + Rotation.NEWS_MILLIS));
    long later = 5001 + Rotation.NEWS_MILLIS;
    assertEquals(Set.of("s-1"), rotation.update(Map.of("s-1", BACK), later));
    assertEquals(new Standing(Health.READY, 7), ready(7, later));
    assertEquals(Set.of(), rotation.update(Map.of("s-1", BACK), later));
  }

  /** Machines come and go under new ids for as long as a balancer runs. */
  @Test
  void oneThatGoesWhileItIsHeldColdIsForgotten() {
    rotation.update(Map.of("s-1", BACK), 5000);
    ready(7, 5001);
    assertEquals(1, rotation.presumed());
    assertEquals(Set.of("s-1"), rotation.update(Map.of(), 5002));
    assertEquals(0, rotation.presumed());
    assertEquals(Set.of(), rotation.update(Map.of(), 5003));
  }

  @Test
  void aListedStartIsBelievedOnceItIsLaterThanTheMark() {
    rotation.update(Map.of("s-1", BACK), 5000);
    assertEquals(new Standing(Health.READY, 3000), ready(3000, 5001));
    assertEquals(Set.of(), rotation.update(Map.of("s-1", BACK), 99_000), "nothing is presumed");
  }

  @Test
  void aMarkThatIsGoneChangesTheStanding() {
    rotation.update(Map.of("s-1", OUT), 1000);
    assertEquals(Set.of("s-1"), rotation.update(Map.of(), 1001));
    assertEquals(new Standing(Health.READY, 7), ready(7, 1002));
  }

  @Test
  void oneCallBackUndoesTwoOut() {
    Mark twice = Mark.suspend(OUT, "s-1", 3000);
    assertEquals(OUT, twice);
    assertFalse(Mark.resume(twice, 5000).out());
    assertEquals(BACK, Mark.resume(BACK, 9000), "back twice is back once");
    assertNull(Mark.resume(null, 9000));
    assertTrue(Mark.suspend(BACK, "s-1", 9000).out());
  }

  /** A clock that was set back in between must not make it look older than its mark. */
  @Test
  void backIsNeverBeforeOut() {
    assertEquals(1000, Mark.resume(OUT, 10).backMillis());
  }

  @Test
  void idsThatNameNoFileAreNoMarks() {
    assertFalse(Mark.markable(""));
    assertFalse(Mark.markable("a\nb"));
    assertFalse(Mark.markable("é"));
    assertFalse(Mark.markable("x".repeat(Mark.MOST_ID_LENGTH + 1)));
    assertTrue(Mark.markable("../s 1/%"));
    assertThrows(IllegalArgumentException.class, () -> new Mark("a\nb", 1, 0));
  }
}
