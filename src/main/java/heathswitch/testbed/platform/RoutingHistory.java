package heathswitch.testbed.platform;

import heathswitch.testbed.server.StandIn;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/** Which request reached which server when, held against what discovery had told. Any thread. */
public final class RoutingHistory implements StandIn.Observer {
  /** Of each time limit of the rules on sockets, and what this rig may see late. */
  private static final long SLACK_NANOS = 100_000_000L;

  private record Load(String balancer, Predicate<String> owns) {}

  private record Arrival(String server, String path, long nanos) {}

  /** A request to a server that drained or had gone, so long after its balancer was told. */
  public record LateRequest(
      String balancer, String server, String path, double secondsAfterDelivery) {}

  private final List<Arrival> arrivals = new ArrayList<>();
  private final List<Load> loads = new ArrayList<>();

  /** Requests whose paths are told apart by a load come from a balancer. */
  synchronized void addLoad(String balancer, Predicate<String> owns) {
    loads.add(new Load(balancer, owns));
  }

  @Override
  public synchronized void arrived(StandIn server, String path, long unixMillis) {
    arrivals.add(new Arrival(server.name(), path, System.nanoTime()));
  }

  synchronized List<LateRequest> lateRequests(DiscoveryStub discovery, long graceMillis) {
    List<LateRequest> late = new ArrayList<>();
    for (DiscoveryStub.Change change : discovery.changes()) {
      if (change.member().phase() == ListedMember.Phase.IN_SERVICE) {
        continue;
      }
      Map<String, Long> deliveries = new HashMap<>();
      for (Arrival arrival : arrivals) {
        String balancer =
            arrival.server().equals(change.member().id()) ? balancer(arrival.path()) : null;
        if (balancer == null) {
          continue;
        }
        long deliveryNanos =
            deliveries.computeIfAbsent(balancer, name -> discovery.deliveryNanos(name, change));
        long after = arrival.nanos() - deliveryNanos;
        if (deliveryNanos < Long.MAX_VALUE && after > graceMillis * 1_000_000 + SLACK_NANOS) {
          late.add(new LateRequest(balancer, arrival.server(), arrival.path(), after / 1e9));
        }
      }
    }
    return late;
  }

  private String balancer(String path) {
    for (Load load : loads) {
      if (load.owns().test(path)) {
        return load.balancer();
      }
    }
    return null;
  }
}
