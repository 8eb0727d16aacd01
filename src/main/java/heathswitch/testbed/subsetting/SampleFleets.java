package heathswitch.testbed.subsetting;

import heathswitch.policy.subsetting.FleetSnapshot;
import heathswitch.policy.subsetting.FleetSnapshot.Instance;
import heathswitch.policy.subsetting.FleetSnapshot.Server;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/** Fleets to hold ways against each other on, and what changes in them. */
final class SampleFleets {
  private SampleFleets() {}

  static Instance instance(String name, double load) {
    return new Instance(name, "", load);
  }

  static Server server(String name, double weight) {
    return new Server(name, "", name.hashCode(), weight);
  }

  /**
   * One with names by number.
   *
   * @param unequal whether loads differ by as much as a lognormal with a deviation of 1, so that
   *     some balancers get several times the mean
   */
  static FleetSnapshot of(int instances, int servers, boolean unequal, long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    List<Instance> some = new ArrayList<>();
    for (int i = 0; i < instances; i++) {
      some.add(instance("edge-" + (1000 + i), unequal ? Math.exp(random.nextGaussian()) : 1));
    }
    List<Server> others = new ArrayList<>();
    for (int i = 0; i < servers; i++) {
      others.add(server("server-" + (10_000 + i), 1));
    }
    return new FleetSnapshot(some, others);
  }

  /** Without one balancer. */
  static FleetSnapshot without(FleetSnapshot census, Instance gone) {
    return new FleetSnapshot(
        census.instances().stream().filter(each -> !each.equals(gone)).toList(), census.servers());
  }

  /** Without one server. */
  static FleetSnapshot without(FleetSnapshot census, Server gone) {
    return new FleetSnapshot(
        census.instances(), census.servers().stream().filter(each -> !each.equals(gone)).toList());
  }

  /** The balancers of one side of a split, which see all servers. */
  static FleetSnapshot side(FleetSnapshot census, boolean even) {
    List<Instance> some = new ArrayList<>();
    for (int i = 0; i < census.instances().size(); i++) {
      if (i % 2 == 0 == even) {
        some.add(census.instances().get(i));
      }
    }
    return new FleetSnapshot(some, census.servers());
  }
}
