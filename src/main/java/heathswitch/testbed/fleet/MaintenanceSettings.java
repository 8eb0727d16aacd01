package heathswitch.testbed.fleet;

/**
 * Settings of the maintenance orders of a fleet.
 *
 * @param stopsWhenCutOff whether instances stop serving when cut off from the others
 * @param extraLines further lines of the configuration table {@code [work]}, such as capacity
 *     floors
 */
public record MaintenanceSettings(
    boolean stopsWhenCutOff,
    long leaseMillis,
    long marginMillis,
    int mostOut,
    int version,
    String extraLines) {
  /** Returns settings of instances that stop serving within a lease when cut off. */
  public static MaintenanceSettings stopWhenCutOff(long leaseMillis, int mostOut) {
    return new MaintenanceSettings(true, leaseMillis, 500, mostOut, 1, "");
  }

  /** Returns settings of instances that continue to serve when cut off. */
  public static MaintenanceSettings serveWhenCutOff(int mostOut) {
    return new MaintenanceSettings(false, 2000, 500, mostOut, 1, "");
  }

  /** Returns the same settings with the given extra lines. */
  public MaintenanceSettings withLines(String lines) {
    return new MaintenanceSettings(
        stopsWhenCutOff, leaseMillis, marginMillis, mostOut, version, lines);
  }
}
