package heathswitch.testbed.fleet;

import heathswitch.testbed.server.StandIn;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What was seen, by one clock: calls as they began at servers, and for how long operators were told
 * that a machine is out. From any thread.
 */
public final class History implements StandIn.Observer {
  private record Call(String server, String path, long nanos) {}

  /** From when somebody was told that a machine is out until somebody said that it is done. */
  private record Out(String server, long fromNanos, long[] untilNanos) {}

  /** A call that began at a machine that was out. */
  public record Breach(String server, String path, double millisAfter) {}

  private final List<Call> calls = new ArrayList<>();
  private final List<Out> outs = new ArrayList<>();
  private final Map<String, Out> open = new HashMap<>();
  private final List<String> notes = new ArrayList<>();
  private final long began = System.nanoTime();

  @Override
  public void arrived(StandIn server, String path, long unixMillis) {
    arrived(server.name(), path, System.nanoTime());
  }

  synchronized void arrived(String server, String path, long nanos) {
    calls.add(new Call(server, path, nanos));
  }

  /** Somebody has been told that a machine is out; told twice is told once. */
  public synchronized void out(String server) {
    open.computeIfAbsent(
        server,
        any -> {
          Out out = new Out(server, System.nanoTime(), new long[] {Long.MAX_VALUE});
          outs.add(out);
          return out;
        });
  }

  /** To be told before "done" is said: from then on calls may come. */
  public synchronized void back(String server) {
    Out out = open.remove(server);
    if (out != null) {
      out.untilNanos()[0] = System.nanoTime();
    }
  }

  /** A fault or a step of the schedule. */
  public synchronized void note(String text) {
    notes.add(String.format("%8.3f s %s", (System.nanoTime() - began) / 1e9, text));
  }

  public synchronized List<String> notes() {
    return List.copyOf(notes);
  }

  /** How often machines went out. */
  public synchronized int outs() {
    return outs.size();
  }

  /** How many machines were out at once at most, as operators were told. */
  public synchronized int mostOut() {
    int most = 0;
    for (Out out : outs) {
      int at = 0;
      for (Out other : outs) {
        at +=
            other.fromNanos() <= out.fromNanos() && out.fromNanos() < other.untilNanos()[0] ? 1 : 0;
      }
      most = Math.max(most, at);
    }
    return most;
  }

  public synchronized int calls() {
    return calls.size();
  }

  /** All calls that began at a machine while it was out, by their ids. */
  public synchronized List<Breach> breaches() {
    Map<String, List<Out>> byServer = new HashMap<>();
    outs.forEach(out -> byServer.computeIfAbsent(out.server(), any -> new ArrayList<>()).add(out));
    List<Breach> breaches = new ArrayList<>();
    for (Call call : calls) {
      for (Out out : byServer.getOrDefault(call.server(), List.of())) {
        if (call.nanos() > out.fromNanos() && call.nanos() < out.untilNanos()[0]) {
          double after = (call.nanos() - out.fromNanos()) / 1e6;
          breaches.add(new Breach(call.server(), call.path(), after));
        }
      }
    }
    return breaches;
  }
}
