package heathswitch.testbed.platform;

import heathswitch.testbed.server.ServiceTime;
import heathswitch.testbed.server.Shape;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;

/**
 * What one run of the soak is drawn to be: how many balancers under which load, what their settings
 * tell them, and how servers that drain behave.
 *
 * @param drainsTurnAway whether a server that drains turns new work away, or goes on serving it
 */
record SoakScenario(
    int balancers,
    int servers,
    double perSecond,
    PlatformSettings settings,
    Shape shape,
    boolean drainingServersReject,
    List<SoakFault> faults) {
  private static final int SOCKETS = 512;

  /**
   * Where a server that drains serves on, nothing but discovery's word tells of the drain, and a
   * balancer that is cut off from discovery alone takes that for an outage: left open, so that the
   * soak has the two together in no run.
   */
  private static final List<SoakFault> CUT_OFF_ALONE =
      List.of(SoakFault.DISCOVERY_REFUSES_ONE_BALANCER, SoakFault.SYSTEM_CALLS_FAIL);

  static SoakScenario draw(SplittableRandom random) {
    int balancers = random.nextInt(2, 5);
    double perSecond = random.nextInt(15, 40);
    long deadlineMillis = random.nextInt(600, 4000);
    ServiceTime time = ServiceTime.exponential(random.nextInt(10, 60));
    boolean pushed = random.nextInt(3) == 0;
    boolean setRejecting = random.nextInt(4) > 0;
    long graceMillis = setRejecting ? random.nextLong(600, 2500) : random.nextLong(1500, 2500);
    long mustAskMillis =
        setRejecting ? random.nextLong(1500, 10_000) : random.nextLong(8000, 10_000);
    PlatformSettings settings =
        new PlatformSettings(deadlineMillis, graceMillis, SOCKETS, pushed, mustAskMillis);
    int servers = random.nextInt(4, 8);
    return new SoakScenario(
        balancers,
        servers,
        perSecond,
        settings,
        Shape.warm(8, 32, time),
        setRejecting,
        Arrays.stream(SoakFault.values())
            .filter(fault -> setRejecting || !CUT_OFF_ALONE.contains(fault))
            .toList());
  }

  @Override
  public String toString() {
    return String.format(
        "lists are %s, deadline %d, grace %d, asked within %d, servers that drain %s",
        settings.pushed() ? "pushed" : "asked for",
        settings.deadlineMillis(),
        settings.graceMillis(),
        settings.mustAskMillis(),
        drainingServersReject ? "turn away" : "serve on");
  }
}
