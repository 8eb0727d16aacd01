package heathswitch.testbed.measure;

import java.util.HashMap;
import java.util.Map;

/**
 * Each server's calls held against its window, sample after sample. A window that is cut has more
 * calls out than it is wide until they are home, which is no breach; calls that grow above it are
 * one, since every one of them was sent when there was no room.
 */
final class WindowSeries {
  private record Sample(long calls, long window) {}

  private final Map<String, Sample> last = new HashMap<>();
  private int samples;
  private int breaches;

  /** One look at one server. */
  void add(String server, long calls, long window) {
    Sample before = last.put(server, new Sample(calls, window));
    samples++;
    if (before != null && calls > before.calls() && calls > Math.max(window, before.window())) {
      breaches++;
    }
  }

  int samples() {
    return samples;
  }

  int breaches() {
    return breaches;
  }
}
