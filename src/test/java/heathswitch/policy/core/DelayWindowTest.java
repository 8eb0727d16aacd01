package heathswitch.policy.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Sequences calculated by hand from Equation 2 of the paper. */
class DelayWindowTest {
  private final DelayWindow window = new DelayWindow();

  private boolean complete(long now, double delay) {
    return window.onCompletion(now, now, delay, (int) window.window());
  }

  @Test
  void slowStartGrowsByOnePerCompletion() {
    for (int i = 1; i <= 5; i++) {
      assertFalse(complete(i, 1));
      assertEquals(DelayWindow.INITIAL + i, window.window());
    }
  }

  @Test
  void breachCutsToOneWithHalfTheWindowAsThreshold() {
    complete(1, 1); // 33
    complete(2, 1); // 34
    assertFalse(complete(3, 1.9)); // with one normal delay added: 4.9 / 4 = 1.225; 35
    assertFalse(complete(4, 2)); // 5.9 / 4 = 1.475 < 1.5; 36
    assertTrue(complete(5, 2.4)); // bounded at 2: 7.9 / 5 = 1.58
    assertEquals(1, window.window());
    assertEquals((DelayWindow.INITIAL + 4) / 2, window.slowStartThreshold);
  }

  @Test
  void growsByOneUpToThresholdAndByOneOverWindowBeyond() {
    complete(1, 2); // (2 + 3) / 4 = 1.25; 33
    complete(2, 1.9); // (3.9 + 2) / 4 = 1.475; 34
    assertTrue(complete(3, 2.4)); // bounded at 2: (5.9 + 1) / 4 = 1.725
    assertEquals(17, window.slowStartThreshold);
    for (int i = 4; i < 20; i++) {
      complete(i, 1);
    }
    assertEquals(17, window.window());
    complete(20, 1);
    assertEquals(17 + 1 / 17.0, window.window(), 1e-12);
  }

  @Test
  void cutsWhenMeanEqualsTheBound() {
    for (int i = 1; i <= 3; i++) {
      assertFalse(complete(i, 1.5)); // (1.5 i + 4 - i) / 4 < 1.5
    }
    assertTrue(complete(4, 1.5));
  }

  @Test
  void doesNotCutOnSingleSlowFirstCall() {
    assertFalse(complete(1, 2.9)); // (2.9 + 3) / 4 = 1.475
  }

  @Test
  void callsSentBeforeACutDoNotCutAgain() {
    for (int i = 1; i <= 3; i++) {
      window.onCompletion(100, i, 3, 4);
    }
    double threshold = window.slowStartThreshold;
    for (int i = 4; i < 20; i++) {
      assertFalse(window.onCompletion(101, i, 3, 4));
    }
    assertEquals(threshold, window.slowStartThreshold);
    assertEquals(1, window.window());
  }

  @Test
  void fastCallsSentBeforeACutGrowTheWindowToTheThreshold() {
    window.cut(100);
    assertFalse(window.onCompletion(101, 1, 3, 31));
    assertEquals(1, window.window(), "a slow call does not grow the window");
    for (int i = 2; i <= 40; i++) {
      assertFalse(window.onCompletion(101, i, 1, 31 - i));
    }
    assertEquals(DelayWindow.INITIAL / 2, window.window());
    assertEquals(DelayWindow.INITIAL / 2, window.slowStartThreshold);
  }

  @Test
  void normalDelayIsEstimatedFromIntervalsWithoutBreachOnly() {
    for (int i = 0; i < DelayWindow.INTERVAL_COMPLETIONS; i++) {
      complete(i, 1.2);
    }
    assertEquals(1 + DelayWindow.INTERVAL_WEIGHT * 0.2, window.normalDelay, 1e-9);
    double learned = window.normalDelay;
    assertTrue(learned > 1);
    for (int i = 0; i < 200; i++) {
      complete(100 + i, 3);
    }
    assertEquals(learned, window.normalDelay);
  }

  @Test
  void doesNotCutOnSingleExpensiveRequest() {
    for (int i = 0; i < 5; i++) {
      complete(i, 0.9);
    }
    assertFalse(complete(6, 40));
  }

  @Test
  void doesNotGrowWhenWindowIsNotUsed() {
    for (int i = 0; i < 50; i++) {
      window.onCompletion(i, i, 1, 1);
    }
    assertEquals(DelayWindow.INITIAL, window.window());
  }

  @Test
  void doesNotCutFastServerThatReturnsToFleetDelay() {
    for (int i = 1; i <= 200; i++) {
      complete(i, 0.6);
    }
    assertTrue(window.normalDelay < 0.7);
    for (int i = 201; i <= 220; i++) {
      assertFalse(
          complete(i, 1.1)); // Above 1.5 times its own normal delay, but near the fleet's delay.
    }
  }

  @Test
  void slowStartPassesThresholdWhileFasterThanFleet() {
    window.cut(1);
    window.cut(2);
    assertEquals(1, window.slowStartThreshold);
    for (int i = 3; i <= 10; i++) {
      complete(i, 0.5);
    }
    assertTrue(window.window() > 4, "window " + window.window());
  }
}
