package heathswitch.policy.members;

/**
 * A server in a candidate list, with its location in the source file.
 *
 * @param location file and line for error messages, such as {@code members.txt:7}
 */
public record ListEntry(ListedServer server, String location) {}
