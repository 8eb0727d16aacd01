package heathswitch.proxy.standalone;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.jr.ob.JSON;
import heathswitch.testbed.balancer.BalancerProcess;
import heathswitch.testbed.client.OpenLoop;
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

/** The admin listener: what it says, and that it changes nothing unasked. */
@Timeout(120)
class AdminTest {
  private static final String QUICK =
      "poll = \"2ms\"\nsettle = \"5ms\"\nremoval_window = \"1min\"\nmost_removed = 0.3\n";

  private static String call(InetSocketAddress admin, String request) throws IOException {
    try (Socket socket = new Socket(admin.getAddress(), admin.getPort())) {
      socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
      socket.getOutputStream().flush();
      return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    }
  }

  private static String ask(InetSocketAddress admin, String line, String headers)
      throws IOException {
    return call(admin, line + " HTTP/1.1\r\nHost: a\r\nConnection: close\r\n" + headers + "\r\n");
  }

  private static Map<String, Object> json(String answer) throws IOException {
    return JSON.std.mapFrom(answer.substring(answer.indexOf("\r\n\r\n") + 4));
  }

  @Test
  void showsTheListAndConfirmsOneThatIsHeldBack() throws Exception {
    try (StandaloneFixture fixture = new StandaloneFixture().servers(4)) {
      fixture.write(fixture.table(0, 1, 2, 3));
      fixture.start(QUICK);
      InetSocketAddress admin = fixture.node().admin().address();
      Map<String, Object> members = json(ask(admin, "GET /members", ""));
      assertEquals(1, members.get("version"));
      assertEquals(4, members.get("in_service"));
      assertEquals(List.of(fixture.workplace.members().toString()), members.get("source"));
      fixture.write(fixture.table(0));
      var watcher = fixture.node().members();
      Await.until("held", () -> watcher.status().pending() != null);
      members = json(ask(admin, "GET /members", ""));
      assertTrue(members.get("held").toString().contains("3 of 4 servers"), members.toString());
      String intent = "X-Heathswitch-Admin: test\r\nContent-Length: 0\r\n";
      String wrong = ask(admin, "POST /members/confirm/7", intent);
      assertTrue(wrong.startsWith("HTTP/1.1 409 "), wrong);
      assertTrue(wrong.contains("has version 2, not 7"), wrong);
      String unasked = ask(admin, "POST /members/confirm/2", "Content-Length: 0\r\n");
      assertTrue(unasked.startsWith("HTTP/1.1 403 "), unasked);
      assertEquals(1, watcher.status().version());
      assertEquals(2, json(ask(admin, "POST /members/confirm/2", intent)).get("accepted"));
      assertEquals(2, watcher.status().version());
      assertEquals(1, watcher.status().servers());
    }
  }

  @Test
  void saysHowTheProcessIs() throws Exception {
    try (StandaloneFixture fixture = new StandaloneFixture().servers(1)) {
      fixture.write(fixture.table(0));
      fixture.start(QUICK);
      Map<String, Object> status = json(ask(fixture.node().admin().address(), "GET /status", ""));
      assertEquals("rig", status.get("name"));
      assertEquals(0, status.get("live_requests"));
      assertTrue(status.containsKey("loop_late_ms") && status.containsKey("heap_after_gc_mb"));
    }
  }

  /** Of a balancer among others that is alone so far: its figures, each with its name alone. */
  @Test
  void figuresAreToldInTheFormOfPrometheus() throws Exception {
    try (StandaloneFixture fixture = new StandaloneFixture().servers(3)) {
      fixture.write(fixture.table(0, 1, 2));
      Path keys = fixture.workplace.folder().resolve("peers.keys");
      Files.writeString(keys, "k1 c3Vic2V0LXN1YnNldC1zdWJzZXQtc3Vic2V0\n");
      int port = BalancerProcess.freeAddress().getPort();
      fixture.start(
          QUICK,
          "metrics = true\n[peers]\ninstance = \"edge-1\"\nkeys = \"peers.keys\"\n"
              + "listen = \"127.0.0.1:"
              + port
              + "\"\n[subset]\nsettle = \"0s\"\nstep = \"100ms\"\n");
      InetSocketAddress admin = fixture.node().admin().address();
      Await.until("it has its plan", () -> planned(admin));
      assertEquals(1, figure(admin, "subset_spread"));
      assertEquals(3, figure(admin, "subset_servers"));
      assertEquals(1, figure(admin, "peers_there"));
      assertEquals(0, figure(admin, "requests_total"));
      OpenLoop load = fixture.load(100);
      System.gc(); // What counts must not depend on whether somebody else still holds it.
      Await.until("requests are counted", () -> figure(admin, "requests_total") > 20);
      load.stop();
      String text = ask(admin, "GET /metrics", "");
      assertTrue(text.contains("text/plain; version=0.0.4"), text);
      assertTrue(text.lines().filter(line -> line.contains("{")).count() < 30, text);
      Map<String, Object> shown = json(ask(admin, "GET /subset", ""));
      assertEquals(3, ((List<?>) shown.get("own")).size());
      Map<String, Object> why = json(ask(admin, "GET /subset/s-1", ""));
      assertEquals("edge-1", ((Map<?, ?>) ((List<?>) why.get("users")).get(0)).get("balancer"));
      assertTrue(ask(admin, "GET /subset/s-9", "").startsWith("HTTP/1.1 404 "));
    }
  }

  private static boolean planned(InetSocketAddress admin) {
    try {
      return Boolean.TRUE.equals(json(ask(admin, "GET /subset", "")).get("narrow"));
    } catch (IOException e) {
      return false;
    }
  }

  private static double figure(InetSocketAddress admin, String name) {
    try {
      String head = "heathswitch_" + name + "{instance=\"edge-1\"} ";
      return ask(admin, "GET /metrics", "")
          .lines()
          .filter(line -> line.startsWith(head))
          .mapToDouble(line -> Double.parseDouble(line.substring(head.length())))
          .findAny()
          .orElse(-1);
    } catch (IOException e) {
      return -1;
    }
  }

  @Test
  void turnsAwayWhatItDoesNotKnow() throws Exception {
    try (StandaloneFixture fixture = new StandaloneFixture().servers(1)) {
      fixture.write(fixture.table(0));
      fixture.start(QUICK);
      InetSocketAddress admin = fixture.node().admin().address();
      assertTrue(ask(admin, "GET /", "").startsWith("HTTP/1.1 404 "));
      assertTrue(ask(admin, "DELETE /members", "").startsWith("HTTP/1.1 404 "));
      String intent = "X-Heathswitch-Admin: test\r\nContent-Length: 0\r\n";
      assertTrue(ask(admin, "POST /members/confirm/x", intent).startsWith("HTTP/1.1 404 "));
      assertTrue(ask(admin, "POST /status", intent).startsWith("HTTP/1.1 404 "));
      assertTrue(call(admin, "garbage\r\n\r\n").startsWith("HTTP/1.1 400 "));
      assertTrue(
          ask(admin, "POST /members/confirm/1", "Content-Length: 99999\r\n")
              .startsWith("HTTP/1.1 413 "));
    }
  }

  /** Its descriptors are the balancer's: beyond a few, connections are closed at once. */
  @Test
  void holdsFewConnections() throws Exception {
    try (StandaloneFixture fixture = new StandaloneFixture().servers(1)) {
      fixture.write(fixture.table(0));
      fixture.start(QUICK);
      InetSocketAddress admin = fixture.node().admin().address();
      List<Socket> open = new ArrayList<>();
      try {
        for (int i = 0; i < 8; i++) {
          open.add(new Socket(admin.getAddress(), admin.getPort()));
          // Each is answered, so all of them have been accepted before the next.
          open.get(i).getOutputStream().write("GET /status HTTP/1.1\r\n\r\n".getBytes());
          assertEquals('H', open.get(i).getInputStream().read());
        }
        try (Socket more = new Socket(admin.getAddress(), admin.getPort())) {
          assertEquals(-1, read(more.getInputStream()));
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
      return -1; // A reset says the same.
    }
  }
}
