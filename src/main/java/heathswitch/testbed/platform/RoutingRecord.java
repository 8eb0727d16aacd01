package heathswitch.testbed.platform;

import heathswitch.testbed.server.StandIn;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/** Which request reached which server when, held against what discovery had told. Any thread. */
public final class RoutingRecord implements StandIn.Observer {
  /** Of each time limit of the rules on sockets, and what this rig may see late. */
  private static final long SLACK_NANOS = 100_000_000L;

  private record Load(String balancer, Predicate<String> owns) {}

  private record Arrival(String server, String path, long nanos) {}

  /** A request to a server that drained or had gone, so long after its balancer was told. */
  public record LateSend(String balancer, String server, String path, double secondsAfterTold) {}

  private final List<Arrival> arrivals = new ArrayList<>();
  private final List<Load> loads = new ArrayList<>();

  /** Requests whose paths are told apart by a load come from a balancer. */
  synchronized void loads(String balancer, Predicate<String> owns) {
    loads.add(new Load(balancer, owns));
  }

  @Override
  public synchronized void arrived(StandIn server, String path, long unixMillis) {
    arrivals.add(new Arrival(server.name(), path, System.nanoTime()));
  }

  synchronized List<LateSend> lateSends(ListService discovery, long graceMillis) {
    List<LateSend> late = new ArrayList<>();
    for (ListService.Change change : discovery.changes()) {
      if (change.member().phase() == ListedMember.Phase.IN_SERVICE) {
        continue;
      }
      Map<String, Long> told = new HashMap<>();
      for (Arrival arrival : arrivals) {
        String balancer =
            arrival.server().equals(change.member().id()) ? balancer(arrival.path()) : null;
        if (balancer == null) {
          continue;
        }
        long toldNanos = told.computeIfAbsent(balancer, name -> discovery.toldNanos(name, change));
        long after = arrival.nanos() - toldNanos;
        if (toldNanos < Long.MAX_VALUE && after > graceMillis * 1_000_000 + SLACK_NANOS) {
          late.add(new LateSend(balancer, arrival.server(), arrival.path(), after / 1e9));
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
