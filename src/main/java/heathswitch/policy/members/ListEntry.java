package heathswitch.policy.members;

/**
 * A line of a candidate list.
 *
 * @param place where it stands, in words for people, such as {@code members.txt:7}
 */
public record ListEntry(ListedServer server, String place) {}
