package heathswitch.testbed;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import heathswitch.testbed.client.HttpLoadGenerator;
import heathswitch.testbed.client.LoadStats;
import heathswitch.testbed.client.RequestKind;
import heathswitch.testbed.server.ServerProfile;
import heathswitch.testbed.server.ServiceTime;
import heathswitch.testbed.server.SimulatedServer;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Checks that simulated servers behave as configured and that the load counts every request. */
@Timeout(120)
class TestbedTest {
  private static final InetSocketAddress ANY_LOOPBACK_PORT = new InetSocketAddress("127.0.0.1", 0);

  private final NioEventLoopGroup loops = new NioEventLoopGroup(2);

  @AfterEach
  void shutDownLoops() {
    loops.shutdownGracefully(0, 2, TimeUnit.SECONDS);
  }

  private SimulatedServer startServer(ServerProfile shape) throws Exception {
    return new SimulatedServer(loops.next(), "s", shape, 1, null).start(ANY_LOOPBACK_PORT);
  }

  private static Socket sendRequests(SimulatedServer server, int requests) throws IOException {
    Socket socket = new Socket("127.0.0.1", server.address().getPort());
    socket.setSoTimeout(30_000);
    for (int i = 0; i < requests; i++) {
      socket.getOutputStream().write("GET /x HTTP/1.1\r\nHost: s\r\n\r\n".getBytes());
    }
    return socket;
  }

  private static String read(Socket socket, int bytes) throws IOException {
    return new String(socket.getInputStream().readNBytes(bytes), StandardCharsets.US_ASCII);
  }

  private HttpLoadGenerator newLoad(InetSocketAddress to, double perSecond, long deadlineMillis) {
    List<RequestKind> kinds = List.of(RequestKind.safe("view", "t", 1));
    return new HttpLoadGenerator(loops.next(), to, kinds, perSecond, deadlineMillis, 50, 3);
  }

  private static void awaitResults(HttpLoadGenerator load, long results)
      throws InterruptedException {
    while (load.stats().total() < results) {
      Thread.sleep(2);
    }
  }

  @Test
  void addressesOutsideLoopbackAreRejected() {
    InetSocketAddress remote = new InetSocketAddress("192.0.2.1", 80);
    assertThrows(IllegalArgumentException.class, () -> newLoad(remote, 1, 1));
    ServerProfile shape = ServerProfile.alwaysWarm(1, 1, ServiceTime.fixed(1));
    SimulatedServer server = new SimulatedServer(loops.next(), "s", shape, 1, null);
    assertThrows(IllegalArgumentException.class, () -> server.start(remote));
  }

  /** One request is processed, one is queued, and the third is refused without being run. */
  @Test
  void aFullServerRefusesRequests() throws Exception {
    try (SimulatedServer server =
            startServer(ServerProfile.alwaysWarm(1, 1, ServiceTime.fixed(300_000)));
        Socket first = sendRequests(server, 1)) {
      while (server.receivedCount() < 1) {
        Thread.sleep(1);
      }
      try (Socket second = sendRequests(server, 1)) {
        while (server.receivedCount() < 2) {
          Thread.sleep(1);
        }
        try (Socket third = sendRequests(server, 1)) {
          assertEquals("HTTP/1.1 503 Service Unavailable\r\n", read(third, 34));
          assertEquals(1, server.refusedCount());
        }
      }
    }
  }

  @Test
  void faultsCanBeSwitchedWhileTheServerRuns() throws Exception {
    try (SimulatedServer server =
        startServer(ServerProfile.alwaysWarm(4, 4, ServiceTime.fixed(1)))) {
      try (Socket good = sendRequests(server, 1)) {
        assertEquals("HTTP/1.1 200 OK", read(good, 15));
      }
      server.faults().errorShare(1);
      try (Socket bad = sendRequests(server, 1)) {
        assertEquals("HTTP/1.1 500 In", read(bad, 15));
      }
      server.faults().errorShare(0).malformedShare(1);
      try (Socket bad = sendRequests(server, 1)) {
        assertTrue(read(bad, 28).contains("no colon"));
      }
      server.faults().malformedShare(0).resetShare(1);
      try (Socket bad = sendRequests(server, 1)) {
        assertThrows(IOException.class, () -> bad.getInputStream().read());
      }
      server.faults().resetShare(0).unresponsive(true);
      long received = server.receivedCount();
      try (Socket silent = sendRequests(server, 1)) {
        while (server.receivedCount() == received) {
          Thread.sleep(1);
        }
        assertEquals(0, silent.getInputStream().available());
      }
      server.faults().unresponsive(false);
      try (Socket good = sendRequests(server, 1)) {
        assertEquals("HTTP/1.1 200 OK", read(good, 15));
      }
    }
  }

  /** The service time depends on the speed at the start of the work, which is low when cold. */
  @Test
  void aColdServerIsSlow() throws Exception {
    ServerProfile shape = new ServerProfile(1, 10, ServiceTime.fixed(10), 0.02, 3_600_000);
    try (SimulatedServer server = startServer(shape)) {
      long startNanos = System.nanoTime();
      try (Socket cold = sendRequests(server, 1)) {
        read(cold, 15);
      }
      assertTrue(
          System.nanoTime() - startNanos > 400_000_000L,
          "a cold server runs at a fiftieth of its speed");
    }
  }

  /** The latency of all requests during a stall counts from their intended times. */
  @Test
  void aStallIsMeasuredByEveryRequestThatIsDueDuringIt() throws Exception {
    try (SimulatedServer server =
        startServer(ServerProfile.alwaysWarm(64, 64, ServiceTime.fixed(400)))) {
      HttpLoadGenerator load = newLoad(server.address(), 200, 20_000).start();
      awaitResults(load, 100);
      load.stop();
      // 50 connections at 400 ms per request serve 125 requests per second; the others wait. Only a
      // client that measures from the intended time sees more than the 400 ms of the server.
      assertEquals(0, load.stats().count(LoadStats.Result.LOST));
      Histogram latencies = load.stats().takeLatencies();
      assertEquals(load.stats().total(), latencies.getTotalCount());
      assertTrue(latencies.getMinValue() >= 399_000, "lowest latency " + latencies.getMinValue());
      assertTrue(latencies.getMaxValue() >= 500_000, "highest latency " + latencies.getMaxValue());
      assertEquals(
          0, load.stats().takeLatencies().getTotalCount(), "reading the latencies resets them");
    }
  }

  @Test
  void requestsWithoutAnAnswerAreLost() throws Exception {
    try (SimulatedServer server =
        startServer(ServerProfile.alwaysWarm(4, 4, ServiceTime.fixed(1)))) {
      server.faults().unresponsive(true);
      HttpLoadGenerator load = newLoad(server.address(), 100, 50).start();
      awaitResults(load, 20);
      load.stop();
      assertEquals(load.stats().total(), load.stats().count(LoadStats.Result.LOST));
    }
    HttpLoadGenerator unconnected = newLoad(new InetSocketAddress("127.0.0.1", 1), 100, 50).start();
    awaitResults(unconnected, 20);
    unconnected.stop();
    assertEquals(unconnected.stats().total(), unconnected.stats().count(LoadStats.Result.LOST));
  }
}
