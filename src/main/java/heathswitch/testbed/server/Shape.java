package heathswitch.testbed.server;

/**
 * What a stand-in can do.
 *
 * @param cores requests in work at a time
 * @param queue requests that wait; beyond, they are turned away unseen
 * @param coldShare part of its speed right after a start, above 0 and at most 1
 * @param warmMillis time from a start to the full speed
 */
public record Shape(int cores, int queue, ServiceTime time, double coldShare, long warmMillis) {
  /** A server that is always warm. */
  public static Shape warm(int cores, int queue, ServiceTime time) {
    return new Shape(cores, queue, time, 1, 0);
  }
}
