package heathswitch.testbed.fleet;

/**
 * What a fleet is told of its work orders.
 *
 * @param stops whether instances stop by themselves when cut off
 * @param text further lines of the table [work], floors for one
 */
public record Terms(
    boolean stops, long leaseMillis, long marginMillis, int mostOut, int version, String text) {
  /** Instances that stop within a lease, and one machine out at a time. */
  public static Terms stopping(long leaseMillis, int mostOut) {
    return new Terms(true, leaseMillis, 500, mostOut, 1, "");
  }

  /** Instances that go on serving when cut off. */
  public static Terms serving(int mostOut) {
    return new Terms(false, 2000, 500, mostOut, 1, "");
  }

  /** The same with further lines of the table. */
  public Terms with(String lines) {
    return new Terms(stops, leaseMillis, marginMillis, mostOut, version, lines);
  }
}
