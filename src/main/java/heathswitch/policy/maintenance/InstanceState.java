package heathswitch.policy.maintenance;

/** What the replicated state holds of one balancer instance. */
final class InstanceState {
  final String name;
  long incarnation;
  boolean stopsWhenCutOff;

  /** The latest format version that the instance's program can read. */
  int latestFormat = FormatSupport.FIRST;

  /**
   * Whether the instance counts as sending nothing: it has left, an operator has fenced it, or its
   * lease has expired.
   */
  boolean fenced;

  long renewedMillis;
  long reportedMillis;
  CapacityReport report;

  InstanceState(String name) {
    this.name = name;
  }
}
