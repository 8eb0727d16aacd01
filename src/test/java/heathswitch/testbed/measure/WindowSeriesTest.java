package heathswitch.testbed.measure;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class WindowSeriesTest {
  private final WindowSeries series = new WindowSeries();

  /** One server over its window is a breach, however much room the others have. */
  @Test
  void callsThatGrowAboveTheWindowAreABreach() {
    series.add("a", 4, 8);
    series.add("b", 0, 100);
    series.add("a", 9, 8);
    series.add("b", 0, 100);
    assertEquals(1, series.breaches());
    assertEquals(4, series.samples());
  }

  @Test
  void aWindowThatIsCutHasItsCallsOutStill() {
    series.add("a", 30, 32);
    series.add("a", 30, 1);
    series.add("a", 12, 1);
    series.add("a", 1, 2);
    assertEquals(0, series.breaches());
  }
}
