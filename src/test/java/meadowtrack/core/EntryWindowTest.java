package meadowtrack.core;

import static meadowtrack.core.Harness.MS;
import static meadowtrack.core.Harness.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import meadowtrack.api.Form;
import org.junit.jupiter.api.Test;

class EntryWindowTest {
  private final EntryWindow window = new EntryWindow();
  private final ArrayDeque<Request> out = new ArrayDeque<>();

  private void start(long now) {
    window.onStart();
    out.add(
        new Request(
            1,
            new RuleSet(Harness.settings(0, Harness.safe("read")), null),
            "read",
            Form.HTTP1,
            now,
            4 * SECOND));
  }

  private void end(long now) {
    window.onEnd(now, out.poll(), true);
  }

  private void steady(int calls, int parallel, long tookNanos) {
    for (int i = 0; i < calls; i++) {
      start(i * 10 * MS);
      if (out.size() >= parallel) {
        end(i * 10 * MS + tookNanos);
      }
    }
  }

  @Test
  void shortDelaysNeverCut() {
    steady(500, 10, 200 * MS);
    assertTrue(window.window >= EntryWindow.START);
  }

  @Test
  void delaysNearTheAimCutToAPartOfWhatIsInFlight() {
    steady(200, 20, 1500 * MS);
    assertTrue(window.window < 20, "window " + window.window);
    assertTrue(window.window >= EntryWindow.LEAST);
  }

  @Test
  void callsSentBeforeTheCutDoNotCutAgain() {
    for (int i = 0; i < 100; i++) {
      start(i);
    }
    double before = window.window;
    int cuts = 0;
    for (int i = 0; i < 99; i++) {
      end(2 * SECOND);
      cuts += window.window < before ? 1 : 0;
      before = Math.min(before, window.window);
    }
    assertEquals(1, cuts);
  }

  @Test
  void whatIsWorthMostFindsRoomWhereTheLeastDoesNot() {
    for (int i = 0; i < EntryWindow.START + 1; i++) {
      window.onStart();
    }
    assertTrue(window.hasRoom(1));
    assertFalse(window.hasRoom(0));
  }
}
