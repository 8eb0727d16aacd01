package meadowtrack.api;

/**
 * One line of the server list.
 *
 * @param startedNanos clock time of the last start, or 0 for long ago
 */
public record ServerEntry(
    long id,
    String zone,
    String kind,
    long cell,
    Health health,
    double weight,
    long startedNanos) {}
