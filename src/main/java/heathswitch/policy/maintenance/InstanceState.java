package heathswitch.policy.maintenance;

/** A balancer that takes part. */
final class InstanceState {
  final String name;
  long incarnation;
  boolean stops;

  /** The latest form that its program knows. */
  int knows = FormatSupport.FIRST;

  /** Counted as one that sends nothing: it has left, was fenced by a person, or its lease ended. */
  boolean fenced;

  long renewedMillis;
  long reportedMillis;
  CapacityReport report;

  InstanceState(String name) {
    this.name = name;
  }
}
