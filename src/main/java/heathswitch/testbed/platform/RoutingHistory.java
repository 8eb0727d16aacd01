package heathswitch.testbed.platform;

import heathswitch.testbed.server.SimulatedServer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Records when which request reached which server, and checks this against what discovery had
 * delivered to the balancers. Thread-safe.
 */
public final class RoutingHistory implements SimulatedServer.RequestObserver {
  /** Tolerance of each time limit that is checked at sockets; covers delays in the test bed. */
  private static final long SLACK_NANOS = 100_000_000L;

  /** A load on one balancer, and whether it sent the request with a given path. */
  private record Load(String balancer, Predicate<String> owns) {}

  /** The arrival of a request at a server. */
  private record Arrival(String server, String path, long nanos) {}

  /**
   * A request that reached a draining or removed server after the grace time.
   *
   * @param secondsAfterDelivery time since the change counted as delivered to its balancer
   */
  public record LateRequest(
      String balancer, String server, String path, double secondsAfterDelivery) {}

  private final List<Arrival> arrivals = new ArrayList<>();
  private final List<Load> loads = new ArrayList<>();

  /** Registers a load; requests whose paths it owns go through the balancer. */
  synchronized void addLoad(String balancer, Predicate<String> owns) {
    loads.add(new Load(balancer, owns));
  }

  @Override
  public synchronized void onRequest(SimulatedServer server, String path, long unixMillis) {
    arrivals.add(new Arrival(server.name(), path, System.nanoTime()));
  }

  /** Requests to servers that drain or are removed, more than the grace time after delivery. */
  synchronized List<LateRequest> lateRequests(DiscoveryStub discovery, long graceMillis) {
    List<LateRequest> late = new ArrayList<>();
    for (DiscoveryStub.Change change : discovery.changes()) {
      if (change.member().phase() == ListedMember.Phase.IN_SERVICE) {
        continue;
      }
      Map<String, Long> deliveries = new HashMap<>();
      for (Arrival arrival : arrivals) {
        String balancer =
            arrival.server().equals(change.member().id()) ? balancerOf(arrival.path()) : null;
        if (balancer == null) {
          continue;
        }
        long deliveryNanos =
            deliveries.computeIfAbsent(balancer, name -> discovery.deliveryNanos(name, change));
        long elapsed = arrival.nanos() - deliveryNanos;
        if (deliveryNanos < Long.MAX_VALUE && elapsed > graceMillis * 1_000_000 + SLACK_NANOS) {
          late.add(new LateRequest(balancer, arrival.server(), arrival.path(), elapsed / 1e9));
        }
      }
    }
    return late;
  }

  /** The balancer through which a request came; null if no load owns its path. */
  private String balancerOf(String path) {
    for (Load load : loads) {
      if (load.owns().test(path)) {
        return load.balancer();
      }
    }
    return null;
  }
}
