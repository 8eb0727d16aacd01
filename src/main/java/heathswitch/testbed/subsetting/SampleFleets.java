package heathswitch.testbed.subsetting;

import heathswitch.policy.subsetting.FleetSnapshot;
import heathswitch.policy.subsetting.FleetSnapshot.Instance;
import heathswitch.policy.subsetting.FleetSnapshot.Server;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/** Synthetic fleets for comparing subsetting strategies, and changes to them. */
final class SampleFleets {
  private SampleFleets() {}

  static Instance instance(String name, double load) {
    return new Instance(name, "", load);
  }

  static Server server(String name, double weight) {
    return new Server(name, "", name.hashCode(), weight);
  }

  /**
   * Creates a fleet with numbered names.
   *
   * @param unequal whether loads are lognormally distributed with a standard deviation of 1 (of the
   *     logarithm), so that some balancers get several times the mean; otherwise all are 1
   */
  static FleetSnapshot create(int instanceCount, int serverCount, boolean unequal, long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    List<Instance> instances = new ArrayList<>();
    for (int i = 0; i < instanceCount; i++) {
      instances.add(instance("edge-" + (1000 + i), unequal ? Math.exp(random.nextGaussian()) : 1));
    }
    List<Server> servers = new ArrayList<>();
    for (int i = 0; i < serverCount; i++) {
      servers.add(server("server-" + (10_000 + i), 1));
    }
    return new FleetSnapshot(instances, servers);
  }

  /** The fleet without one balancer. */
  static FleetSnapshot without(FleetSnapshot snapshot, Instance removed) {
    return new FleetSnapshot(
        snapshot.instances().stream().filter(each -> !each.equals(removed)).toList(),
        snapshot.servers());
  }

  /** The fleet without one server. */
  static FleetSnapshot without(FleetSnapshot snapshot, Server removed) {
    return new FleetSnapshot(
        snapshot.instances(),
        snapshot.servers().stream().filter(each -> !each.equals(removed)).toList());
  }

  /**
   * One side of a network split: every second balancer, which all see all servers.
   *
   * @param even whether to take the balancers with even or with odd indices
   */
  static FleetSnapshot splitSide(FleetSnapshot snapshot, boolean even) {
    List<Instance> instances = new ArrayList<>();
    for (int i = 0; i < snapshot.instances().size(); i++) {
      if (i % 2 == 0 == even) {
        instances.add(snapshot.instances().get(i));
      }
    }
    return new FleetSnapshot(instances, snapshot.servers());
  }
}
