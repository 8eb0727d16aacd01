package heathswitch.testbed.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;

import heathswitch.testbed.server.ServerProfile;
import heathswitch.testbed.server.ServiceTime;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import testing.Await;

/**
 * Several reloads of one process in quick succession: at the end the latest configuration is in
 * force, even if reads of its file are delayed or fail.
 */
@Timeout(90)
class ReloadSeriesTest {
  private static final ServerProfile SHAPE = ServerProfile.alwaysWarm(8, 64, ServiceTime.fixed(5));
  private static final PlatformSettings SETTINGS = new PlatformSettings(1000, 2000, 512, false);
  private static final long READ_DELAY_MILLIS = 400;
  private static final long RELOAD_INTERVAL_MILLIS = 50;

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

  /**
   * Discovery listens only at its latest address, so a watch shows that the latest configuration is
   * in force.
   */
  private static void awaitLatest(PlatformFleet fleet) throws Exception {
    Thread.sleep(2 * READ_DELAY_MILLIS);
    Await.until("a watch at the latest address", () -> fleet.discovery().watchingBalancers() == 1);
  }

  @Test
  void delayedReloadDoesNotOverrideTheNextReload() throws Exception {
    try (PlatformFleet fleet = new PlatformFleet(95, SETTINGS, SHAPE)) {
      PlatformBalancer balancer = start(fleet);
      injector.delayConfigurationRead(READ_DELAY_MILLIS);
      fleet.reconfigure(balancer);
      Thread.sleep(RELOAD_INTERVAL_MILLIS);
      fleet.reconfigure(balancer);
      awaitLatest(fleet);
    }
  }

  /** A new process has no former configuration to continue with. */
  @Test
  void processStartsWhenItsConfigurationFileIsUnreadableAtFirst() throws Exception {
    try (PlatformFleet fleet = new PlatformFleet(97, SETTINGS, SHAPE)) {
      injector.fail(
          SystemFaultInjector.SystemCall.READ_CONFIGURATION, SystemFaultInjector.Errno.EIO, 3);
      start(fleet);
      assertEquals(
          0,
          injector.remaining(SystemFaultInjector.SystemCall.READ_CONFIGURATION),
          "failures left");
    }
  }

  @Test
  void reloadIsRetriedWhenConfigurationFileIsUnreadableAtFirst() throws Exception {
    try (PlatformFleet fleet = new PlatformFleet(96, SETTINGS, SHAPE)) {
      PlatformBalancer balancer = start(fleet);
      injector.fail(
          SystemFaultInjector.SystemCall.READ_CONFIGURATION, SystemFaultInjector.Errno.EIO, 3);
      fleet.reconfigure(balancer);
      awaitLatest(fleet);
      assertEquals(
          0,
          injector.remaining(SystemFaultInjector.SystemCall.READ_CONFIGURATION),
          "failures left");
    }
  }
}
