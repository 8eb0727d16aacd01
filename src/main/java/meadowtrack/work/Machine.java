package meadowtrack.work;

/**
 * A server as an order names it.
 *
 * @param address where it is reached, as ADDRESS:PORT; another id there is the same machine
 * @param weight its capacity against others, as the list says
 */
public record Machine(
    String id, String kind, String zone, long cell, double weight, String address) {
  Group group() {
    return new Group(kind, zone);
  }
}
