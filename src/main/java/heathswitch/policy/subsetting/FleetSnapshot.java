package heathswitch.policy.subsetting;

import java.util.Comparator;
import java.util.List;

/**
 * Balancers and servers as somebody sees them, each in the order of their names.
 *
 * @param instances balancers that count as there
 * @param servers those that are in service
 */
public record FleetSnapshot(List<Instance> instances, List<Server> servers) {
  /**
   * A balancer.
   *
   * @param zone where it is, empty for nowhere in particular
   * @param load calls a second that come to it
   */
  public record Instance(String name, String zone, double load) {}

  /**
   * A server.
   *
   * @param zone where it is, empty for nowhere in particular
   * @param cell what fails together
   * @param weight its part of the calls against that of others, above 0
   */
  public record Server(String name, String zone, long cell, double weight) {}

  public FleetSnapshot {
    instances = instances.stream().sorted(Comparator.comparing(Instance::name)).toList();
    servers = servers.stream().sorted(Comparator.comparing(Server::name)).toList();
  }

  /** Calls a second that come to all. */
  public double load() {
    return instances.stream().mapToDouble(Instance::load).sum();
  }

  /** What all servers weigh together. */
  public double weight() {
    return servers.stream().mapToDouble(Server::weight).sum();
  }
}
