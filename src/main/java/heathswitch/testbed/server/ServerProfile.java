package heathswitch.testbed.server;

/**
 * Capacity, service time and warm-up of a simulated server.
 *
 * @param cores number of requests processed at the same time
 * @param queue number of requests that can wait; further ones are refused without being run
 * @param coldSpeed fraction of the full speed right after a start, above 0 and at most 1
 * @param warmUpMillis time from a start until the full speed is reached
 */
public record ServerProfile(
    int cores, int queue, ServiceTime serviceTime, double coldSpeed, long warmUpMillis) {
  /** Returns the profile of a server without a warm-up. */
  public static ServerProfile alwaysWarm(int cores, int queue, ServiceTime serviceTime) {
    return new ServerProfile(cores, queue, serviceTime, 1, 0);
  }
}
