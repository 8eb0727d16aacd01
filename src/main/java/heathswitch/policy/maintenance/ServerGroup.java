package heathswitch.policy.maintenance;

/** All servers of one kind in one zone; their capacity is added up. */
public record ServerGroup(String kind, String zone) {}
