package heathswitch.testbed;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import heathswitch.testbed.client.Kind;
import heathswitch.testbed.client.OpenLoop;
import heathswitch.testbed.client.Tally;
import heathswitch.testbed.server.ServiceTime;
import heathswitch.testbed.server.Shape;
import heathswitch.testbed.server.StandIn;
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

/** The rig itself: its servers do what they are said to, its client leaves nothing out. */
@Timeout(120)
class RigTest {
  private static final InetSocketAddress ANY = new InetSocketAddress("127.0.0.1", 0);

  private final NioEventLoopGroup group = new NioEventLoopGroup(2);

  @AfterEach
  void stop() {
    group.shutdownGracefully(0, 2, TimeUnit.SECONDS);
  }

  private StandIn server(Shape shape) throws Exception {
    return new StandIn(group.next(), "s", shape, 1, null).start(ANY);
  }

  private static Socket send(StandIn server, int requests) throws IOException {
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

  private OpenLoop load(InetSocketAddress to, double perSecond, long deadlineMillis) {
    List<Kind> kinds = List.of(Kind.safe("view", "t", 1));
    return new OpenLoop(group.next(), to, kinds, perSecond, deadlineMillis, 50, 3);
  }

  private static void await(OpenLoop load, long results) throws InterruptedException {
    while (load.tally().total() < results) {
      Thread.sleep(2);
    }
  }

  @Test
  void onlyLoopbackIsEverUsed() {
    InetSocketAddress far = new InetSocketAddress("192.0.2.1", 80);
    assertThrows(IllegalArgumentException.class, () -> load(far, 1, 1));
    Shape shape = Shape.warm(1, 1, ServiceTime.fixed(1));
    StandIn server = new StandIn(group.next(), "s", shape, 1, null);
    assertThrows(IllegalArgumentException.class, () -> server.start(far));
  }

  /** One in work, one waiting, the third turned away as one that never ran. */
  @Test
  void aFullServerTurnsAway() throws Exception {
    try (StandIn server = server(Shape.warm(1, 1, ServiceTime.fixed(300_000)));
        Socket first = send(server, 1)) {
      while (server.received() < 1) {
        Thread.sleep(1);
      }
      try (Socket second = send(server, 1)) {
        while (server.received() < 2) {
          Thread.sleep(1);
        }
        try (Socket third = send(server, 1)) {
          assertEquals("HTTP/1.1 503 Service Unavailable\r\n", read(third, 34));
          assertEquals(1, server.turnedAway());
        }
      }
    }
  }

  @Test
  void faultsCanBeSwitchedWhileItRuns() throws Exception {
    try (StandIn server = server(Shape.warm(4, 4, ServiceTime.fixed(1)))) {
      try (Socket good = send(server, 1)) {
        assertEquals("HTTP/1.1 200 OK", read(good, 15));
      }
      server.faults().errors(1);
      try (Socket bad = send(server, 1)) {
        assertEquals("HTTP/1.1 500 In", read(bad, 15));
      }
      server.faults().errors(0).spoilt(1);
      try (Socket bad = send(server, 1)) {
        assertTrue(read(bad, 28).contains("no colon"));
      }
      server.faults().spoilt(0).resets(1);
      try (Socket bad = send(server, 1)) {
        assertThrows(IOException.class, () -> bad.getInputStream().read());
      }
      server.faults().resets(0).silent(true);
      long received = server.received();
      try (Socket silent = send(server, 1)) {
        while (server.received() == received) {
          Thread.sleep(1);
        }
        assertEquals(0, silent.getInputStream().available());
      }
      server.faults().silent(false);
      try (Socket good = send(server, 1)) {
        assertEquals("HTTP/1.1 200 OK", read(good, 15));
      }
    }
  }

  /** Its work takes as long as its speed when it began says: long at first, short when warm. */
  @Test
  void aColdServerIsSlow() throws Exception {
    Shape shape = new Shape(1, 10, ServiceTime.fixed(10), 0.02, 3_600_000);
    try (StandIn server = server(shape)) {
      long begun = System.nanoTime();
      try (Socket cold = send(server, 1)) {
        read(cold, 15);
      }
      assertTrue(System.nanoTime() - begun > 400_000_000L, "a fiftieth of its speed");
    }
  }

  /** All requests that fall into a silence count with the time from when they were due. */
  @Test
  void aStallIsSeenByEveryRequestThatFallsIntoIt() throws Exception {
    try (StandIn server = server(Shape.warm(64, 64, ServiceTime.fixed(400)))) {
      OpenLoop load = load(server.address(), 200, 20_000).start();
      await(load, 100);
      load.stop();
      // With 50 connections and 400 ms each 125 a second are served: the rest wait their turn, and
      // only a client that counts from the intended time sees more than the server's own 400 ms.
      assertEquals(0, load.tally().count(Tally.Result.LOST));
      Histogram latencies = load.tally().interval();
      assertEquals(load.tally().total(), latencies.getTotalCount());
      assertTrue(latencies.getMinValue() >= 399_000, "least " + latencies.getMinValue());
      assertTrue(latencies.getMaxValue() >= 500_000, "most " + latencies.getMaxValue());
      assertEquals(0, load.tally().interval().getTotalCount(), "an interval is taken once");
    }
  }

  @Test
  void whatGetsNoAnswerIsLost() throws Exception {
    try (StandIn server = server(Shape.warm(4, 4, ServiceTime.fixed(1)))) {
      server.faults().silent(true);
      OpenLoop load = load(server.address(), 100, 50).start();
      await(load, 20);
      load.stop();
      assertEquals(load.tally().total(), load.tally().count(Tally.Result.LOST));
    }
    OpenLoop nobody = load(new InetSocketAddress("127.0.0.1", 1), 100, 50).start();
    await(nobody, 20);
    nobody.stop();
    assertEquals(nobody.tally().total(), nobody.tally().count(Tally.Result.LOST));
  }
}
