package heathswitch.testbed.gossip;

/** Measures the gossip traffic of a fleet without faults. */
public final class GossipTraffic {
  private static final long MINUTE = 60_000 * GossipSimulation.MILLI;

  private GossipTraffic() {}

  /** Datagrams per second that each member sends, not counting the exchange of session ids. */
  public static double messagesPerMemberPerSecond(int members) {
    GossipSimulation simulation = new GossipSimulation(members, 7);
    simulation.nodes().forEach(simulation::start);
    if (simulation.untilSettled(10 * MINUTE) < 0) {
      throw new IllegalStateException("no agreement: " + simulation.disagreement());
    }
    simulation.advance(MINUTE / 6);
    return simulation.messagesPerSecond(MINUTE / 2);
  }
}
