package heathswitch.testbed.fleet;

import heathswitch.testbed.server.SimulatedServer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A history on one clock of the calls that arrived at servers and of the periods in which operators
 * were told that a machine is out. Thread-safe.
 */
public final class History implements SimulatedServer.RequestObserver {
  private record Call(String server, String path, long nanos) {}

  /** Time from the first report that a machine is out until its order was reported as done. */
  private record OutPeriod(String server, long startNanos, long[] endNanos) {}

  /** A call that arrived at a machine that was out. */
  public record Breach(String server, String path, double millisAfter) {}

  private final List<Call> calls = new ArrayList<>();
  private final List<OutPeriod> outPeriods = new ArrayList<>();
  private final Map<String, OutPeriod> openPeriods = new HashMap<>();
  private final List<String> notes = new ArrayList<>();
  private final long startNanos = System.nanoTime();

  @Override
  public void onRequest(SimulatedServer server, String path, long unixMillis) {
    onRequest(server.name(), path, System.nanoTime());
  }

  synchronized void onRequest(String server, String path, long nanos) {
    calls.add(new Call(server, path, nanos));
  }

  /** Records that an operator was told that a machine is out. Repeated reports have no effect. */
  public synchronized void recordOut(String server) {
    openPeriods.computeIfAbsent(
        server,
        key -> {
          OutPeriod period = new OutPeriod(server, System.nanoTime(), new long[] {Long.MAX_VALUE});
          outPeriods.add(period);
          return period;
        });
  }

  /**
   * Ends the period in which a machine is out. Must be called before its order is reported as done,
   * as calls may arrive from then on.
   */
  public synchronized void recordBack(String server) {
    OutPeriod period = openPeriods.remove(server);
    if (period != null) {
      period.endNanos()[0] = System.nanoTime();
    }
  }

  /** Adds a timestamped note about a fault or a step of the schedule. */
  public synchronized void addNote(String text) {
    notes.add(String.format("%8.3f s %s", (System.nanoTime() - startNanos) / 1e9, text));
  }

  public synchronized List<String> notes() {
    return List.copyOf(notes);
  }

  /** Returns the number of periods in which a machine was out. */
  public synchronized int outCount() {
    return outPeriods.size();
  }

  /** Returns the highest number of machines that were reported out at the same time. */
  public synchronized int maxConcurrentOut() {
    int most = 0;
    for (OutPeriod period : outPeriods) {
      int concurrent = 0;
      for (OutPeriod other : outPeriods) {
        concurrent +=
            other.startNanos() <= period.startNanos() && period.startNanos() < other.endNanos()[0]
                ? 1
                : 0;
      }
      most = Math.max(most, concurrent);
    }
    return most;
  }

  public synchronized int callCount() {
    return calls.size();
  }

  /** Returns all calls that arrived at a machine while it was out. */
  public synchronized List<Breach> breaches() {
    Map<String, List<OutPeriod>> byServer = new HashMap<>();
    outPeriods.forEach(
        period -> byServer.computeIfAbsent(period.server(), key -> new ArrayList<>()).add(period));
    List<Breach> breaches = new ArrayList<>();
    for (Call call : calls) {
      for (OutPeriod period : byServer.getOrDefault(call.server(), List.of())) {
        if (call.nanos() > period.startNanos() && call.nanos() < period.endNanos()[0]) {
          double millisAfter = (call.nanos() - period.startNanos()) / 1e6;
          breaches.add(new Breach(call.server(), call.path(), millisAfter));
        }
      }
    }
    return breaches;
  }
}
