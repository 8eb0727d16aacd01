package heathswitch.policy.subsetting;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Call rates from the balancers of each zone to the servers of each zone. Every server gets its
 * fair share by weight, and as few calls as possible leave their zone.
 */
final class ZoneFlows {
  /**
   * A flow is dropped if it is a smaller fraction than this of both the load of its source zone and
   * the fair share of its target zone: connections across zones for so little cost more than they
   * bring.
   */
  private static final double MIN_FLOW_SHARE = 0.05;

  private final Map<String, Double> loadByZone = new TreeMap<>();
  private final Map<String, Double> fairShareByZone = new TreeMap<>();
  private final Map<String, Map<String, Double>> flows = new TreeMap<>();

  ZoneFlows(FleetSnapshot snapshot, double[] loads) {
    double totalLoad = 0;
    for (int i = 0; i < loads.length; i++) {
      loadByZone.merge(snapshot.instances().get(i).zone(), loads[i], Double::sum);
      totalLoad += loads[i];
    }
    double totalWeight = snapshot.totalWeight();
    for (FleetSnapshot.Server server : snapshot.servers()) {
      fairShareByZone.merge(server.zone(), server.weight() / totalWeight * totalLoad, Double::sum);
    }
    double totalExcess = 0;
    for (String zone : loadByZone.keySet()) {
      totalExcess += loadByZone.get(zone) - localFlow(zone);
    }
    for (String source : loadByZone.keySet()) {
      Map<String, Double> row = new TreeMap<>();
      double excess = loadByZone.get(source) - localFlow(source);
      for (String target : fairShareByZone.keySet()) {
        double room = fairShareByZone.get(target) - localFlow(target);
        double flow =
            source.equals(target)
                ? localFlow(source)
                : totalExcess > 0 ? excess * room / totalExcess : 0;
        if (flow > MIN_FLOW_SHARE * loadByZone.get(source)
            || flow > MIN_FLOW_SHARE * fairShareByZone.get(target)) {
          row.put(target, flow);
        }
      }
      flows.put(source, row);
    }
  }

  /** Call rate that stays in a zone. */
  private double localFlow(String zone) {
    return Math.min(loadByZone.getOrDefault(zone, 0.0), fairShareByZone.getOrDefault(zone, 0.0));
  }

  /** Fraction of a target zone's fair share that comes from the balancers of a source zone. */
  double share(String source, String target) {
    return flows.get(source).getOrDefault(target, 0.0) / fairShareByZone.get(target);
  }

  /** Zones with balancers, sorted by name. */
  List<String> sourceZones() {
    return List.copyOf(loadByZone.keySet());
  }
}
