package heathswitch.proxy.platform;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.fasterxml.jackson.jr.ob.JSON;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import heathswitch.proxy.http1.HeaderRules;
import heathswitch.proxy.node.Node;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URL;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * One exchange of each kind on loopback, played once by the build, which keeps the classes that it
 * loads in an archive for {@code serve}. Loading them anew took half of the CPU time of a start,
 * and a start under load is time in which a whole tier has one balancer fewer. An archive that does
 * not fit the JVM or the jar is left out by the JVM, and the start takes as long as without.
 */
public final class CdsTrainingRun {
  private static final String CONFIG =
      """
      {"name":"rehearsal","listen":"127.0.0.1:0","console":"127.0.0.1:0","discovery":"127.0.0.1:%1$d","seed":"1",
       "limits":{"sockets":256},
       "known":{"revision":1,"members":[%2$s]},
       "settings":{"membership_mode":"subscribe","zone":"a",
        "classes":[
         {"name":"ask","idempotency":"read_like","aim_ns":5000000000,"hard_limit_ns":9000000000},
         {"name":"act","aim_ns":5000000000,"hard_limit_ns":9000000000}],
        "tenants":[{"name":"t","portion":1,"quota_rps":10}],
        "limits":{"most_tries":4,"may_duplicate":true,"cancelling":true}}}
      """;

  private static final String MEMBER =
      """
      {"id":"s","host_port":"127.0.0.1:%1$d","locality":"a","phase":"in_service"}""";

  private static final int WAIT_MILLIS = 20_000;

  private CdsTrainingRun() {}

  /** Fails if any of the exchanges does. */
  public static void run() throws Exception {
    CountDownLatch watched = new CountDownLatch(1);
    HttpServer peer =
        HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
    int port = peer.getAddress().getPort();
    String member = MEMBER.formatted(port);
    peer.createContext(
        "/discovery/hosts",
        exchange -> {
          answer(exchange, "{\"revision\":2,\"members\":[" + member + "]}\n");
          watched.countDown();
        });
    peer.createContext("/api", exchange -> answer(exchange, "ok"));
    peer.start();
    NodeConfig config =
        NodeConfig.parse(JSON.std.mapFrom(CONFIG.formatted(port, member)), Map.of());
    PlatformNode balancer = new PlatformNode(config, Map.of());
    Node node = balancer.node();
    try {
      balancer.start();
      require(call(node.address(), "/up", "GET", null) == 200, "readiness");
      require(call(node.address(), "/api/a", "GET", "ask") == 200, "a call that may be repeated");
      require(call(node.address(), "/api/a", "POST", "act") == 200, "a call that may not");
      require(call(node.address(), "/api/a", "GET", "act") == 400, "a call that is none");
      require(watched.await(WAIT_MILLIS, TimeUnit.MILLISECONDS), "the watch");
      InetSocketAddress console = balancer.operations().address();
      require(call(console, "/v1/readyz", "GET", null) == 200, "the console");
      require(call(console, "/v1/upstreams/s/suspend", "PUT", null) == 200, "an upstream out");
      require(call(console, "/v1/upstreams/s/resume", "PUT", null) == 200, "an upstream back");
    } finally {
      balancer.stop();
      peer.stop(0);
    }
  }

  private static void require(boolean holds, String what) {
    if (!holds) {
      throw new IllegalStateException("rehearsal: " + what + " went wrong");
    }
  }

  private static void answer(HttpExchange exchange, String text) throws IOException {
    exchange.getRequestBody().readAllBytes();
    exchange.sendResponseHeaders(200, 0);
    exchange.getResponseBody().write(text.getBytes(UTF_8));
    exchange.close();
  }

  private static int call(InetSocketAddress to, String path, String method, String type)
      throws IOException {
    URL url = new URL("http", "127.0.0.1", to.getPort(), path);
    HttpURLConnection connection = (HttpURLConnection) url.openConnection();
    connection.setReadTimeout(WAIT_MILLIS);
    connection.setRequestMethod(method);
    if (type != null) {
      connection.setRequestProperty(HeaderRules.REQUEST_ID, "r");
      connection.setRequestProperty(HeaderRules.CLASS, type);
      connection.setRequestProperty(HeaderRules.TENANT, "t");
      connection.setRequestProperty(HeaderRules.DEADLINE, "9");
    }
    if (method.equals("POST")) {
      connection.setDoOutput(true);
      connection.getOutputStream().write('x');
    }
    int status = connection.getResponseCode();
    connection.disconnect();
    return status;
  }
}
