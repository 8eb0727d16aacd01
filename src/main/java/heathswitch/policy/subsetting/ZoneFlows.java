package heathswitch.policy.subsetting;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * How many calls a second go from balancers of one zone to servers of another, so that all servers
 * are equally loaded for their weight and as few calls as can be leave their zone.
 */
final class ZoneFlows {
  /** A flow that is a smaller part of what either end has is left at home: it would cost more. */
  private static final double LEAST_PART = 0.05;

  private final Map<String, Double> load = new TreeMap<>();
  private final Map<String, Double> due = new TreeMap<>();
  private final Map<String, Map<String, Double>> to = new TreeMap<>();

  ZoneFlows(FleetSnapshot census, double[] loads) {
    double total = 0;
    for (int i = 0; i < loads.length; i++) {
      load.merge(census.instances().get(i).zone(), loads[i], Double::sum);
      total += loads[i];
    }
    double weight = census.weight();
    for (FleetSnapshot.Server each : census.servers()) {
      due.merge(each.zone(), each.weight() / weight * total, Double::sum);
    }
    double over = 0;
    for (String zone : load.keySet()) {
      over += load.get(zone) - home(zone);
    }
    for (String from : load.keySet()) {
      Map<String, Double> row = new TreeMap<>();
      double left = load.get(from) - home(from);
      for (String zone : due.keySet()) {
        double room = due.get(zone) - home(zone);
        double flow = from.equals(zone) ? home(from) : over > 0 ? left * room / over : 0;
        if (flow > LEAST_PART * load.get(from) || flow > LEAST_PART * due.get(zone)) {
          row.put(zone, flow);
        }
      }
      to.put(from, row);
    }
  }

  private double home(String zone) {
    return Math.min(load.getOrDefault(zone, 0.0), due.getOrDefault(zone, 0.0));
  }

  /** The part of what is due to servers of a zone that comes from balancers of another. */
  double part(String from, String zone) {
    return to.get(from).getOrDefault(zone, 0.0) / due.get(zone);
  }

  /** Zones with balancers, in order. */
  List<String> from() {
    return List.copyOf(load.keySet());
  }
}
