package heathswitch.policy.subsetting;

import java.util.Comparator;
import java.util.List;

/**
 * The balancers and servers that one balancer knows of at one moment, each sorted by name.
 *
 * @param instances the balancers that are present
 * @param servers the servers that are in service
 */
public record FleetSnapshot(List<Instance> instances, List<Server> servers) {
  /**
   * A balancer.
   *
   * @param zone the zone it runs in, empty if none is configured
   * @param load calls per second that it receives from clients
   */
  public record Instance(String name, String zone, double load) {}

  /**
   * A server.
   *
   * @param zone the zone it runs in, empty if none is configured
   * @param cell failure domain: servers of one cell fail together
   * @param weight its relative share of all calls, above 0
   */
  public record Server(String name, String zone, long cell, double weight) {}

  public FleetSnapshot {
    instances = instances.stream().sorted(Comparator.comparing(Instance::name)).toList();
    servers = servers.stream().sorted(Comparator.comparing(Server::name)).toList();
  }

  /** Calls per second that all balancers receive together. */
  public double totalLoad() {
    return instances.stream().mapToDouble(Instance::load).sum();
  }

  /** Sum of the weights of all servers. */
  public double totalWeight() {
    return servers.stream().mapToDouble(Server::weight).sum();
  }
}
