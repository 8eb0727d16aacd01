package heathswitch.policy.maintenance;

/** The servers of one kind in one zone, whose capacity is counted together. */
public record ServerGroup(String kind, String zone) {}
