package heathswitch.testbed.gossip;

/** What members of a fleet of any size send each other in calm. */
public final class GossipTraffic {
  private static final long MINUTE = 60_000 * GossipSimulation.MILLI;

  private GossipTraffic() {}

  /** Datagrams that a member sends a second, without those of first meetings. */
  public static double messagesPerMemberPerSecond(int members) {
    GossipSimulation colony = new GossipSimulation(members, 7);
    colony.nodes().forEach(colony::start);
    if (colony.untilSettled(10 * MINUTE) < 0) {
      throw new IllegalStateException("no agreement: " + colony.disagreement());
    }
    colony.pass(MINUTE / 6);
    return colony.messagesPerSecond(MINUTE / 2);
  }
}
