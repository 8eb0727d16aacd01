package heathswitch.testbed.measure;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class RoundsTest {
  @Test
  void aChangeIsToldFromChance() {
    Rounds rounds = new Rounds(3);
    double[] sway = {0.02, -0.03, 0.01, -0.02, 0.03, -0.01};
    for (double each : sway) {
      rounds.addDifference(
          new double[] {0.95 + each, 0.90 + each / 10, 0.95}, new double[] {0.95, 0.95, 0.95});
    }
    assertEquals(0, rounds.mean(0), 1e-12);
    assertEquals(-0.05, rounds.mean(1), 1e-12);
    // The sum of squares is 0.0028, over 5 and 6.
    assertEquals(Math.sqrt(0.0028 / 30), rounds.error(0), 1e-12);
    assertEquals(1, rounds.least());
    assertEquals(1, rounds.below(-3), "the one that sways by nothing has not changed either");
  }

  @Test
  void oneRoundTellsNothing() {
    Rounds rounds = new Rounds(1);
    rounds.add(new double[] {-5});
    assertEquals(0, rounds.below(-3));
  }
}
