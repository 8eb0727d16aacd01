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
 * The training run for the class data sharing (CDS) archive. The build runs one exchange of each
 * kind on loopback and archives the loaded classes for {@code serve}. Without the archive, class
 * loading took half of the CPU time of a start, and while a balancer starts under load its whole
 * tier has one balancer fewer. The JVM ignores an archive that doesn't match the JVM or the jar;
 * the start then takes as long as without one.
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

  private static final int TIMEOUT_MILLIS = 20_000;

  private CdsTrainingRun() {}

  /** Runs the exchanges; throws if one of them fails. */
  public static void run() throws Exception {
    CountDownLatch watchOpened = new CountDownLatch(1);
    HttpServer server =
        HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
    int port = server.getAddress().getPort();
    String member = MEMBER.formatted(port);
    server.createContext(
        "/discovery/hosts",
        exchange -> {
          answer(exchange, "{\"revision\":2,\"members\":[" + member + "]}\n");
          watchOpened.countDown();
        });
    server.createContext("/api", exchange -> answer(exchange, "ok"));
    server.start();
    NodeConfig config =
        NodeConfig.parse(JSON.std.mapFrom(CONFIG.formatted(port, member)), Map.of());
    PlatformNode balancer = new PlatformNode(config, Map.of());
    Node node = balancer.node();
    try {
      balancer.start();
      require(call(node.address(), "/up", "GET", null) == 200, "readiness");
      require(call(node.address(), "/api/a", "GET", "ask") == 200, "a repeatable request");
      require(
          call(node.address(), "/api/a", "POST", "act") == 200,
          "a request that must not be repeated");
      require(call(node.address(), "/api/a", "GET", "act") == 400, "rejecting an invalid request");
      require(watchOpened.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS), "the watch");
      InetSocketAddress operations = balancer.operations().address();
      require(
          call(operations, "/v1/readyz", "GET", null) == 200, "readiness on the operations API");
      require(
          call(operations, "/v1/upstreams/s/suspend", "PUT", null) == 200,
          "suspending an upstream");
      require(
          call(operations, "/v1/upstreams/s/resume", "PUT", null) == 200, "resuming an upstream");
    } finally {
      balancer.stop();
      server.stop(0);
    }
  }

  private static void require(boolean condition, String exchange) {
    if (!condition) {
      throw new IllegalStateException("rehearsal: " + exchange + " failed");
    }
  }

  private static void answer(HttpExchange exchange, String text) throws IOException {
    exchange.getRequestBody().readAllBytes();
    exchange.sendResponseHeaders(200, 0);
    exchange.getResponseBody().write(text.getBytes(UTF_8));
    exchange.close();
  }

  private static int call(
      InetSocketAddress address, String path, String method, String requestClass)
      throws IOException {
    URL url = new URL("http", "127.0.0.1", address.getPort(), path);
    HttpURLConnection connection = (HttpURLConnection) url.openConnection();
    connection.setReadTimeout(TIMEOUT_MILLIS);
    connection.setRequestMethod(method);
    if (requestClass != null) {
      connection.setRequestProperty(HeaderRules.REQUEST_ID, "r");
      connection.setRequestProperty(HeaderRules.CLASS, requestClass);
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
