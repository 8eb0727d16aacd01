package heathswitch.testbed.measure;

/** One subsystem's measurement, run by {@code heathswitch measure NAME}. */
public interface Measurement {
  /**
   * Measures and prints progress on standard error.
   *
   * @param brief to end within 40 seconds, at a smaller size
   */
  Figures run(boolean brief) throws Exception;
}
