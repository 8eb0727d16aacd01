package heathswitch.proxy.maintenance;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.jr.ob.JSON;
import heathswitch.testbed.client.HttpLoadGenerator;
import heathswitch.testbed.fleet.Fleet;
import heathswitch.testbed.fleet.History;
import heathswitch.testbed.fleet.Node;
import heathswitch.testbed.server.ServerProfile;
import heathswitch.testbed.server.ServiceTime;
import java.io.IOException;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import testing.Await;

/** Helpers for tests of maintenance orders with a fleet of processes, and their final checks. */
final class MaintenanceFixture {
  static final ServerProfile SERVER_SHAPE =
      ServerProfile.alwaysWarm(8, 64, ServiceTime.exponential(3));

  private static final int REQUESTS_PER_SECOND = 60;

  private final List<HttpLoadGenerator> loads = new ArrayList<>();
  private final Map<Node, HttpLoadGenerator> latest = new HashMap<>();

  void load(Fleet fleet) {
    fleet.nodes().forEach(node -> load(fleet, node));
  }

  void load(Fleet fleet, Node node) {
    HttpLoadGenerator load = fleet.startLoad(node, REQUESTS_PER_SECOND);
    loads.add(load);
    latest.put(node, load);
  }

  /** Stops the load of a node; returns once all its calls have been answered. */
  void stopLoad(Node node) throws InterruptedException {
    latest.get(node).stop();
  }

  static long ask(Node node, String machine) throws IOException {
    return ask(node, machine, "machine=" + machine);
  }

  static long ask(Node node, String key, String what) throws IOException {
    Map<String, Object> answer =
        node.post("work/ask?key=" + key + "&who=me&why=disk&for_ms=600000&" + what);
    return ((Number) answer.get("order")).longValue();
  }

  /** The status of the first machine of an order, as a node shows it. */
  static Map<?, ?> machineStatus(Node node, long order) throws IOException {
    return (Map<?, ?>) ((List<?>) node.get("work/" + order).get("standings")).get(0);
  }

  static String phase(Node node, long order) {
    try {
      return String.valueOf(machineStatus(node, order).get("phase"));
    } catch (IOException e) {
      return "unknown";
    }
  }

  /** A field of a node's page {@code work}, empty while it does not answer. */
  static Object workField(Node node, String key) {
    try {
      return node.get("work").get(key);
    } catch (IOException e) {
      return "";
    }
  }

  /** Waits until a machine is out and notes that for the check of calls. */
  static void awaitOut(Fleet fleet, Node node, long order, String machine)
      throws InterruptedException {
    Await.until(machine + " is out", () -> phase(node, order).equals("out"));
    fleet.history().recordOut(machine);
  }

  /** Ends an order and notes that its machine may get calls again. */
  static void done(Fleet fleet, Node node, long order, String machine) throws IOException {
    fleet.history().recordBack(machine);
    node.post("work/done/" + order);
  }

  /** Repeats a request until it is accepted; the repeated request is the same order. */
  static long askUntilAccepted(Node node, String key, String what) {
    long[] order = {0};
    try {
      Await.until(
          key + " is accepted at " + node.name(),
          () -> {
            try {
              order[0] = ask(node, key, what);
              return true;
            } catch (IOException e) {
              return false; // There is no majority, or not yet.
            }
          });
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException(e);
    }
    return order[0];
  }

  /** The version of a node's server list, empty while it does not answer. */
  static String listVersion(Node node) {
    try {
      return String.valueOf(node.get("members").get("version"));
    } catch (IOException e) {
      return "";
    }
  }

  /** Whether a node shows another as fenced; true also while it does not answer. */
  static boolean fenced(Node node, Node of) {
    try {
      for (Object each : (List<?>) node.get("work").get("instances")) {
        Map<?, ?> row = (Map<?, ?>) each;
        if (row.get("name").equals(of.name())) {
          return Boolean.TRUE.equals(row.get("fenced"));
        }
      }
      return true;
    } catch (IOException e) {
      return true;
    }
  }

  /** The lines of a node's log, each of which must be a JSON object. */
  static List<Map<String, Object>> lines(Node node) throws IOException {
    List<Map<String, Object>> lines = new ArrayList<>();
    for (String line : Files.readAllLines(node.logFile())) {
      try {
        lines.add(JSON.std.mapFrom(line));
      } catch (IOException e) {
        throw new IOException("not a JSON object: " + line, e);
      }
    }
    return lines;
  }

  /** Checks that no call began at a machine that was out and that no write took effect twice. */
  void verify(Fleet fleet) throws InterruptedException {
    verify(fleet, 0);
  }

  /** Like {@link #verify(Fleet)}, but allows some calls at a machine that was out. */
  void verify(Fleet fleet, int maxCalls) throws InterruptedException {
    for (HttpLoadGenerator load : loads) {
      load.stop();
    }
    List<History.Breach> breaches = fleet.history().breaches();
    assertTrue(breaches.size() <= maxCalls, () -> breaches + " " + fleet.history().notes());
    assertEquals(0, fleet.ledger().duplicateRunCount(id -> id.contains("publish")));
  }
}
