package heathswitch.testbed.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;

import heathswitch.testbed.server.ServiceTime;
import heathswitch.testbed.server.Shape;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import testing.Await;

/**
 * Configurations in quick succession for one process: the newest is in force in the end, whatever
 * holds up or fails the reading of its file.
 */
@Timeout(90)
class ReloadSeriesTest {
  private static final Shape SHAPE = Shape.warm(8, 64, ServiceTime.fixed(5));
  private static final PlatformSettings SETTINGS = new PlatformSettings(1000, 2000, 512, false);
  private static final long HELD_UP_MILLIS = 400;
  private static final long BETWEEN_MILLIS = 50;

  private final SystemFaultInjector injector = new SystemFaultInjector();

  ReloadSeriesTest() throws Exception {}

  @AfterEach
  void close() throws Exception {
    injector.close();
  }

  private PlatformBalancer start(PlatformFleet fleet) throws Exception {
    fleet.addServer(false);
    PlatformBalancer balancer = fleet.addBalancer();
    balancer.environment(injector.environment());
    fleet.start(balancer);
    Await.until("a watch", () -> fleet.discovery().watchingBalancers() == 1);
    return balancer;
  }

  /** Only at the newest address somebody listens: a watch tells that it is in force. */
  private static void awaitNewest(PlatformFleet fleet) throws Exception {
    Thread.sleep(2 * HELD_UP_MILLIS);
    Await.until("a watch at the newest address", () -> fleet.discovery().watchingBalancers() == 1);
  }

  @Test
  void aReloadThatIsHeldUpDoesNotUndoTheNextOne() throws Exception {
    try (PlatformFleet fleet = new PlatformFleet(95, SETTINGS, SHAPE)) {
      PlatformBalancer balancer = start(fleet);
      injector.delayConfigurationRead(HELD_UP_MILLIS);
      fleet.reconfigure(balancer);
      Thread.sleep(BETWEEN_MILLIS);
      fleet.reconfigure(balancer);
      awaitNewest(fleet);
    }
  }

  /** A process that is started anew has no configuration of before to go on with. */
  @Test
  void aProcessStartsThoughItsFileCannotBeReadAtFirst() throws Exception {
    try (PlatformFleet fleet = new PlatformFleet(97, SETTINGS, SHAPE)) {
      injector.fail(
          SystemFaultInjector.SystemCall.READ_CONFIGURATION, SystemFaultInjector.Errno.EIO, 3);
      start(fleet);
      assertEquals(
          0,
          injector.remaining(SystemFaultInjector.SystemCall.READ_CONFIGURATION),
          "all have failed");
    }
  }

  @Test
  void aFileThatCouldNotBeReadIsReadAgain() throws Exception {
    try (PlatformFleet fleet = new PlatformFleet(96, SETTINGS, SHAPE)) {
      PlatformBalancer balancer = start(fleet);
      injector.fail(
          SystemFaultInjector.SystemCall.READ_CONFIGURATION, SystemFaultInjector.Errno.EIO, 3);
      fleet.reconfigure(balancer);
      awaitNewest(fleet);
      assertEquals(
          0,
          injector.remaining(SystemFaultInjector.SystemCall.READ_CONFIGURATION),
          "all have failed");
    }
  }
}
