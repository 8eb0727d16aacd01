package heathswitch.testbed.platform;

import heathswitch.testbed.server.ServerProfile;
import heathswitch.testbed.server.ServiceTime;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;

/**
 * The random scenario of one soak run: balancers, servers, load, settings, the behaviour of
 * draining servers, and the kinds of faults that may be injected.
 *
 * @param drainingServersReject whether a draining server rejects new requests, instead of serving
 *     them
 */
record SoakScenario(
    int balancers,
    int servers,
    double perSecond,
    PlatformSettings settings,
    ServerProfile shape,
    boolean drainingServersReject,
    List<SoakFault> faults) {
  private static final int SOCKETS = 512;

  /**
   * Faults that may cut off a single balancer from discovery. The balancer takes this for an
   * outage. If draining servers continue to serve, only discovery tells of a drain, so this
   * balancer can't learn of it. What it should do then is an open question, and no run combines the
   * two.
   */
  private static final List<SoakFault> FAULTS_LIKE_OUTAGE =
      List.of(SoakFault.DISCOVERY_REFUSES_ONE_BALANCER, SoakFault.SYSTEM_CALLS_FAIL);

  static SoakScenario draw(SplittableRandom random) {
    int balancers = random.nextInt(2, 5);
    double perSecond = random.nextInt(15, 40);
    long deadlineMillis = random.nextInt(600, 4000);
    ServiceTime time = ServiceTime.exponential(random.nextInt(10, 60));
    boolean pushed = random.nextInt(3) == 0;
    boolean reject = random.nextInt(4) > 0;
    long graceMillis = reject ? random.nextLong(600, 2500) : random.nextLong(1500, 2500);
    long mustAskMillis = reject ? random.nextLong(1500, 10_000) : random.nextLong(8000, 10_000);
    PlatformSettings settings =
        new PlatformSettings(deadlineMillis, graceMillis, SOCKETS, pushed, mustAskMillis);
    int servers = random.nextInt(4, 8);
    return new SoakScenario(
        balancers,
        servers,
        perSecond,
        settings,
        ServerProfile.alwaysWarm(8, 32, time),
        reject,
        Arrays.stream(SoakFault.values())
            .filter(fault -> reject || !FAULTS_LIKE_OUTAGE.contains(fault))
            .toList());
  }

  @Override
  public String toString() {
    return String.format(
        "lists are %s, deadline %d ms, grace %d ms, must ask within %d ms, draining servers %s",
        settings.pushed() ? "pushed" : "called for",
        settings.deadlineMillis(),
        settings.graceMillis(),
        settings.mustAskMillis(),
        drainingServersReject ? "reject requests" : "continue to serve");
  }
}
