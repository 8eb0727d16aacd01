package heathswitch.proxy.standalone;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.jr.ob.JSON;
import heathswitch.testbed.balancer.BalancerProcess;
import heathswitch.testbed.client.HttpLoadGenerator;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import testing.Await;

/** Tests the pages of the admin listener, and that it rejects unintended changes. */
@Timeout(120)
class AdminServerTest {
  private static final String FAST_POLLING =
      "poll = \"2ms\"\nsettle = \"5ms\"\nremoval_window = \"1min\"\nmost_removed = 0.3\n";

  private static String send(InetSocketAddress admin, String request) throws IOException {
    try (Socket socket = new Socket(admin.getAddress(), admin.getPort())) {
      socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
      socket.getOutputStream().flush();
      return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    }
  }

  private static String request(InetSocketAddress admin, String requestLine, String headers)
      throws IOException {
    return send(
        admin, requestLine + " HTTP/1.1\r\nHost: a\r\nConnection: close\r\n" + headers + "\r\n");
  }

  private static Map<String, Object> json(String response) throws IOException {
    return JSON.std.mapFrom(response.substring(response.indexOf("\r\n\r\n") + 4));
  }

  @Test
  void showsListAndAcceptsHeldListOnConfirmation() throws Exception {
    try (StandaloneFixture fixture = new StandaloneFixture().servers(4)) {
      fixture.write(fixture.table(0, 1, 2, 3));
      fixture.start(FAST_POLLING);
      InetSocketAddress admin = fixture.node().admin().address();
      Map<String, Object> members = json(request(admin, "GET /members", ""));
      assertEquals(1, members.get("version"));
      assertEquals(4, members.get("in_service"));
      assertEquals(List.of(fixture.workplace.serverListFile().toString()), members.get("source"));
      fixture.write(fixture.table(0));
      var watcher = fixture.node().members();
      Await.until("held", () -> watcher.status().pending() != null);
      members = json(request(admin, "GET /members", ""));
      assertTrue(members.get("held").toString().contains("3 of 4 servers"), members.toString());
      String intentHeader = "X-Heathswitch-Admin: test\r\nContent-Length: 0\r\n";
      String conflict = request(admin, "POST /members/confirm/7", intentHeader);
      assertTrue(conflict.startsWith("HTTP/1.1 409 "), conflict);
      assertTrue(conflict.contains("has version 2, not 7"), conflict);
      String withoutHeader = request(admin, "POST /members/confirm/2", "Content-Length: 0\r\n");
      assertTrue(withoutHeader.startsWith("HTTP/1.1 403 "), withoutHeader);
      assertEquals(1, watcher.status().version());
      assertEquals(
          2, json(request(admin, "POST /members/confirm/2", intentHeader)).get("accepted"));
      assertEquals(2, watcher.status().version());
      assertEquals(1, watcher.status().servers());
    }
  }

  @Test
  void statusPageShowsProcessState() throws Exception {
    try (StandaloneFixture fixture = new StandaloneFixture().servers(1)) {
      fixture.write(fixture.table(0));
      fixture.start(FAST_POLLING);
      Map<String, Object> status =
          json(request(fixture.node().admin().address(), "GET /status", ""));
      assertEquals("rig", status.get("name"));
      assertEquals(0, status.get("live_requests"));
      assertTrue(status.containsKey("loop_late_ms") && status.containsKey("heap_after_gc_mb"));
    }
  }

  /**
   * The balancer takes part in gossip but has no peers yet; the only label is its instance name.
   */
  @Test
  void exposesMetricsInPrometheusFormat() throws Exception {
    try (StandaloneFixture fixture = new StandaloneFixture().servers(3)) {
      fixture.write(fixture.table(0, 1, 2));
      Path keys = fixture.workplace.path().resolve("peers.keys");
      Files.writeString(keys, "k1 c3Vic2V0LXN1YnNldC1zdWJzZXQtc3Vic2V0\n");
      int port = BalancerProcess.freeAddress().getPort();
      fixture.start(
          FAST_POLLING,
          "metrics = true\n[peers]\ninstance = \"edge-1\"\nkeys = \"peers.keys\"\n"
              + "listen = \"127.0.0.1:"
              + port
              + "\"\n[subset]\nsettle = \"0s\"\nstep = \"100ms\"\n");
      InetSocketAddress admin = fixture.node().admin().address();
      Await.until("subset planned", () -> isPlanned(admin));
      assertEquals(1, metric(admin, "subset_spread"));
      assertEquals(3, metric(admin, "subset_servers"));
      assertEquals(1, metric(admin, "peers_there"));
      assertEquals(0, metric(admin, "requests_total"));
      HttpLoadGenerator load = fixture.load(100);
      System.gc(); // Counters must keep working if nothing else refers to their sources.
      Await.until("requests are counted", () -> metric(admin, "requests_total") > 20);
      load.stop();
      String text = request(admin, "GET /metrics", "");
      assertTrue(text.contains("text/plain; version=0.0.4"), text);
      assertTrue(text.lines().filter(line -> line.contains("{")).count() < 30, text);
      Map<String, Object> subset = json(request(admin, "GET /subset", ""));
      assertEquals(3, ((List<?>) subset.get("own")).size());
      Map<String, Object> explanation = json(request(admin, "GET /subset/s-1", ""));
      assertEquals(
          "edge-1", ((Map<?, ?>) ((List<?>) explanation.get("users")).get(0)).get("balancer"));
      assertTrue(request(admin, "GET /subset/s-9", "").startsWith("HTTP/1.1 404 "));
    }
  }

  private static boolean isPlanned(InetSocketAddress admin) {
    try {
      return Boolean.TRUE.equals(json(request(admin, "GET /subset", "")).get("narrow"));
    } catch (IOException e) {
      return false;
    }
  }

  private static double metric(InetSocketAddress admin, String name) {
    try {
      String prefix = "heathswitch_" + name + "{instance=\"edge-1\"} ";
      return request(admin, "GET /metrics", "")
          .lines()
          .filter(line -> line.startsWith(prefix))
          .mapToDouble(line -> Double.parseDouble(line.substring(prefix.length())))
          .findAny()
          .orElse(-1);
    } catch (IOException e) {
      return -1;
    }
  }

  @Test
  void rejectsUnknownPagesAndMalformedRequests() throws Exception {
    try (StandaloneFixture fixture = new StandaloneFixture().servers(1)) {
      fixture.write(fixture.table(0));
      fixture.start(FAST_POLLING);
      InetSocketAddress admin = fixture.node().admin().address();
      assertTrue(request(admin, "GET /", "").startsWith("HTTP/1.1 404 "));
      assertTrue(request(admin, "DELETE /members", "").startsWith("HTTP/1.1 404 "));
      String intentHeader = "X-Heathswitch-Admin: test\r\nContent-Length: 0\r\n";
      assertTrue(
          request(admin, "POST /members/confirm/x", intentHeader).startsWith("HTTP/1.1 404 "));
      assertTrue(request(admin, "POST /status", intentHeader).startsWith("HTTP/1.1 404 "));
      assertTrue(send(admin, "garbage\r\n\r\n").startsWith("HTTP/1.1 400 "));
      assertTrue(
          request(admin, "POST /members/confirm/1", "Content-Length: 99999\r\n")
              .startsWith("HTTP/1.1 413 "));
    }
  }

  /** Admin connections use file descriptors of the balancer, so only a few are accepted. */
  @Test
  void closesConnectionsBeyondLimit() throws Exception {
    try (StandaloneFixture fixture = new StandaloneFixture().servers(1)) {
      fixture.write(fixture.table(0));
      fixture.start(FAST_POLLING);
      InetSocketAddress admin = fixture.node().admin().address();
      List<Socket> open = new ArrayList<>();
      try {
        for (int i = 0; i < 8; i++) {
          open.add(new Socket(admin.getAddress(), admin.getPort()));
          // Reading the response ensures that this connection is accepted before the next.
          open.get(i).getOutputStream().write("GET /status HTTP/1.1\r\n\r\n".getBytes());
          assertEquals('H', open.get(i).getInputStream().read());
        }
        try (Socket excess = new Socket(admin.getAddress(), admin.getPort())) {
          assertEquals(-1, read(excess.getInputStream()));
        }
      } finally {
        for (Socket socket : open) {
          socket.close();
        }
      }
    }
  }

  private static int read(InputStream in) {
    try {
      return in.read();
    } catch (IOException e) {
      return -1; // A connection reset is equivalent to the end of the stream.
    }
  }
}
