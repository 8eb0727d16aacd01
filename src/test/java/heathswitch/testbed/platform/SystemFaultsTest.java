package heathswitch.testbed.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import heathswitch.testbed.server.ServerProfile;
import heathswitch.testbed.server.ServiceTime;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.time.Instant;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import testing.Await;

/** One balancer process whose system calls fail for a short time or whose wall clock is stepped. */
@Timeout(120)
class SystemFaultsTest {
  private static final ServerProfile SHAPE = ServerProfile.alwaysWarm(8, 64, ServiceTime.fixed(5));
  private static final PlatformSettings SETTINGS = new PlatformSettings(1000, 2000, 512, false);
  private static final int FAILURES = 4;

  private final SystemFaultInjector injector = new SystemFaultInjector();

  SystemFaultsTest() throws Exception {}

  @AfterEach
  void close() throws IOException {
    injector.close();
  }

  private PlatformBalancer start(PlatformFleet fleet) throws Exception {
    for (int i = 0; i < 3; i++) {
      fleet.addServer(false);
    }
    PlatformBalancer balancer = fleet.addBalancer();
    balancer.environment(injector.environment());
    fleet.start(balancer);
    return balancer;
  }

  /** Sends one request on a new connection and expects status 200; the time taken, in ms. */
  private static long sendRequest(PlatformBalancer balancer, int number) throws IOException {
    long began = System.nanoTime();
    try (Socket socket = new Socket()) {
      socket.connect(balancer.listen(), 1000);
      socket.setSoTimeout(5000);
      String head =
          "GET /api/x HTTP/1.1\r\nHost: b\r\nX-Request-Id: r"
              + number
              + "\r\nX-Class: view\r\nX-Tenant: school\r\nX-Deadline: 1.0\r\n\r\n";
      socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
      InputStream in = socket.getInputStream();
      String status = new String(in.readNBytes(12), StandardCharsets.US_ASCII);
      assertEquals("HTTP/1.1 200", status);
    }
    return (System.nanoTime() - began) / 1_000_000;
  }

  /** A listener that pauses for a second after a failure would miss short deadlines. */
  @ParameterizedTest
  @EnumSource(names = {"ENFILE", "ENOBUFS", "ECONNABORTED"})
  void failingAcceptsDoNotDelayRequests(SystemFaultInjector.Errno errno) throws Exception {
    try (PlatformFleet fleet = new PlatformFleet(81, SETTINGS, SHAPE)) {
      PlatformBalancer balancer = start(fleet);
      sendRequest(balancer, 0);
      injector.fail(SystemFaultInjector.SystemCall.ACCEPT, errno, FAILURES);
      long slowest = 0;
      for (int i = 1; i <= 20; i++) {
        slowest = Math.max(slowest, sendRequest(balancer, i));
      }
      assertEquals(0, injector.remaining(SystemFaultInjector.SystemCall.ACCEPT), "failures left");
      assertTrue(slowest < 500, "slowest request took " + slowest + " ms");
    }
  }

  /** After a failed connect, the next attempt goes to a server that can be connected to. */
  @ParameterizedTest
  @EnumSource(names = {"EADDRNOTAVAIL", "ENETUNREACH", "EHOSTUNREACH"})
  void failedConnectIsRetriedOnAnotherServer(SystemFaultInjector.Errno errno) throws Exception {
    try (PlatformFleet fleet = new PlatformFleet(82, SETTINGS, SHAPE)) {
      PlatformBalancer balancer = start(fleet);
      injector.fail(SystemFaultInjector.SystemCall.CONNECT, errno, 1);
      sendRequest(balancer, 0);
      injector.fail(SystemFaultInjector.SystemCall.SOCKET, SystemFaultInjector.Errno.ENFILE, 1);
      for (int i = 1; i <= 5; i++) {
        sendRequest(balancer, i);
      }
      assertTrue(balancer.alive());
    }
  }

  /** A failed call for the list is followed by another one. */
  @Test
  void callForListIsRepeatedWhenItsSocketCannotBeCreated() throws Exception {
    try (PlatformFleet fleet = new PlatformFleet(85, SETTINGS, SHAPE)) {
      PlatformBalancer balancer = start(fleet);
      Await.until("a watch", () -> fleet.discovery().watchingBalancers() == 1);
      injector.fail(SystemFaultInjector.SystemCall.SOCKET, SystemFaultInjector.Errno.ENOBUFS, 2);
      fleet.discovery().resetWatches();
      Await.until(
          "two failures", () -> injector.remaining(SystemFaultInjector.SystemCall.SOCKET) == 0);
      long failed = System.nanoTime();
      Await.until("a new watch", () -> fleet.discovery().watchingBalancers() == 1);
      long tookMillis = (System.nanoTime() - failed) / 1_000_000;
      assertTrue(
          balancer.alive() && tookMillis < 3500,
          "a new watch after " + tookMillis + " ms; process alive: " + balancer.alive());
    }
  }

  /** Deadlines, the watch on discovery and drains don't depend on the wall clock. */
  @ParameterizedTest
  @ValueSource(longs = {-3_600_000, 3_600_000})
  void wallClockStepDoesNotAffectRequestsWatchesOrDrains(long offMillis) throws Exception {
    try (PlatformFleet fleet = new PlatformFleet(83, SETTINGS, SHAPE)) {
      PlatformBalancer balancer = start(fleet);
      KeepAliveLoad load = fleet.startKeepAliveLoad(balancer, 40);
      Await.until("a watch", () -> fleet.discovery().watchingBalancers() == 1);
      injector.setWallClockOffset(offMillis);
      fleet.drain("s-1");
      fleet.discovery().resetWatches();
      Await.until("a new watch", () -> fleet.discovery().watchingBalancers() == 1);
      fleet.drain("s-2");
      Await.until("served requests", () -> load.counts().served() > 200);
      load.stop();
      Await.until("all requests to end", load::settled);
      assertEquals(0, load.lost().size());
      assertEquals(0, fleet.lateRequests().size());
      assertEquals(0, load.counts().failed() + load.counts().refused());
      balancer.signal("TERM");
      assertEquals(0, balancer.awaitExit(5000));
      assertTrue(
          logHasOffset(balancer, offMillis), "the process did not see the wall clock's offset");
    }
  }

  /** Whether the last log line has the offset, so that the shim was loaded. */
  private static boolean logHasOffset(PlatformBalancer balancer, long offMillis)
      throws IOException {
    List<String> lines = Files.readAllLines(balancer.log());
    String last = lines.get(lines.size() - 1);
    long seen = Instant.parse(last.substring(0, last.indexOf(' '))).toEpochMilli();
    return Math.abs(seen - System.currentTimeMillis() - offMillis) < 60_000;
  }

  /**
   * A process that starts with an offset of its clock still treats a just started server as cold.
   */
  @Test
  void coldServerGetsReducedShareFromBalancerWhoseClockIsAnHourAhead() throws Exception {
    injector.setWallClockOffset(3_600_000);
    try (PlatformFleet fleet = new PlatformFleet(84, SETTINGS, SHAPE)) {
      for (int i = 0; i < 5; i++) {
        fleet.addServer(false);
      }
      String cold = fleet.addServer(true);
      PlatformBalancer balancer = fleet.addBalancer();
      balancer.environment(injector.environment());
      fleet.start(balancer);
      KeepAliveLoad load = fleet.startKeepAliveLoad(balancer, 60);
      Await.until("served requests", () -> load.counts().served() > 150);
      load.stop();
      long sent = fleet.server(cold).receivedCount();
      assertTrue(sent > 0 && sent < 15, "a full share is 25 requests, the cold server got " + sent);
    }
  }
}
