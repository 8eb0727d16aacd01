package heathswitch.proxy.platform;

import com.fasterxml.jackson.jr.ob.JSON;
import heathswitch.proxy.node.Node;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import testing.Await;

/**
 * A balancer inside the test process, on a free port, with a list of upstreams known from the
 * start.
 */
final class BalancerFixture implements AutoCloseable {
  static final long MS = 1_000_000L;

  private final Map<String, Object> limits = new LinkedHashMap<>();
  private final Map<String, String> classes = new LinkedHashMap<>();
  private final List<Object> members = new ArrayList<>();
  private String discovery = "127.0.0.1:1";
  private boolean subscribe;
  private int tier;
  private long maxSockets = 1024;
  private long deadlineNanos = 20_000 * MS;
  private long dedupWindowNanos = 5_000 * MS;
  private long mustAskNanos = 1_000_000_000L;

  /**
   * Long, because most tests have no discovery that would confirm the list known from the start.
   */
  private long graceNanos = 3_600_000 * MS;

  private String listen = "127.0.0.1:0";
  private boolean operationsApi;
  private Map<String, String> environment = Map.of();
  private PlatformNode balancer;
  private Node node;

  BalancerFixture() {
    classes("view", "read_like", "keyed", "idempotency_key", "publish", "non_idempotent");
    limits.put("most_tries", 4);
    limits.put("may_duplicate", true);
    limits.put("cancelling", true);
    limits.put("keepalive_ns", 60_000 * MS);
    limits.put("dial_timeout_ns", 5_000 * MS);
    limits.put("max_retry_after_ns", 2_000 * MS);
    limits.put("retry_after", true);
  }

  static Map<String, Object> member(String id, String address, String phase, long startedMillis) {
    Map<String, Object> member = new LinkedHashMap<>();
    member.put("id", id);
    member.put("host_port", address);
    member.put("locality", "a");
    member.put("flavor", "std");
    member.put("cell", 1);
    member.put("phase", phase);
    member.put("size", 1.0);
    member.put("up_since_ms", startedMillis);
    return member;
  }

  static String json(String id, String address, String phase) {
    return "{\"id\":\""
        + id
        + "\",\"host_port\":\""
        + address
        + "\",\"locality\":\"a\",\"flavor\":\"std\",\"cell\":1,\"phase\":\""
        + phase
        + "\",\"size\":1.0,\"up_since_ms\":0}";
  }

  BalancerFixture upstream(StubServer... servers) {
    for (StubServer server : servers) {
      upstreamAddress(server.address());
    }
    return this;
  }

  BalancerFixture upstreamAddress(String address) {
    members.add(member("s-" + members.size(), address, "in_service", 0));
    return this;
  }

  BalancerFixture mustAskWithin(long millis) {
    mustAskNanos = millis * MS;
    return this;
  }

  BalancerFixture grace(long millis) {
    graceNanos = millis * MS;
    return this;
  }

  BalancerFixture limit(String name, Object value) {
    limits.put(name, value);
    return this;
  }

  BalancerFixture maxSockets(long count) {
    maxSockets = count;
    return this;
  }

  /** Sets the deadline of every request class. */
  BalancerFixture deadline(long millis) {
    deadlineNanos = millis * MS;
    return this;
  }

  /** Sets how long servers drop repeats of a keyed request. */
  BalancerFixture dedupWindow(long millis) {
    dedupWindowNanos = millis * MS;
    return this;
  }

  /**
   * Sets the tier of the balancer. Above 0 it is behind another tier, and queues requests for a
   * while if its upstreams have no room.
   */
  BalancerFixture tier(int number) {
    tier = number;
    return this;
  }

  BalancerFixture subscribedTo(StubServer server) {
    discovery = server.address();
    subscribe = true;
    return this;
  }

  BalancerFixture pushedBy(StubServer server) {
    return pushedFrom(server.address());
  }

  BalancerFixture pushedFrom(String address) {
    discovery = address;
    return this;
  }

  /** Enables the operations API, with a directory that all processes of the balancer share. */
  BalancerFixture operationsApi(Path directory) {
    operationsApi = true;
    environment = Map.of("TMPDIR", directory.toString());
    return this;
  }

  /** Listens at the address of another, running balancer. */
  BalancerFixture sharingAddressOf(BalancerFixture other) {
    listen = "127.0.0.1:" + other.address().getPort();
    return this;
  }

  /** Writes the configuration to a file, which a reload reads. */
  BalancerFixture writeConfig(Path path) throws Exception {
    Files.writeString(path, JSON.std.asString(config()));
    environment = Map.of("EDGE_CONFIG", path.toString());
    return this;
  }

  /** Replaces the three default request classes by these names and effects. */
  BalancerFixture classes(String... namesAndEffects) {
    classes.clear();
    for (int i = 0; i < namesAndEffects.length; i += 2) {
      classes.put(namesAndEffects[i], namesAndEffects[i + 1]);
    }
    return this;
  }

  private Map<String, Object> requestClass(String name, String effect) {
    return Map.of(
        "name",
        name,
        "idempotency",
        effect,
        "group",
        "all",
        "aim_ns",
        deadlineNanos / 4,
        "hard_limit_ns",
        deadlineNanos,
        "window_ns",
        dedupWindowNanos,
        "importance",
        1.0);
  }

  Map<String, Object> config() {
    Map<String, Object> settings = new LinkedHashMap<>();
    settings.put(
        "classes",
        classes.entrySet().stream()
            .map(each -> requestClass(each.getKey(), each.getValue()))
            .toList());
    settings.put("limits", limits);
    settings.put("membership_mode", subscribe ? "subscribe" : "automatic");
    settings.put("zone", "a");
    settings.put("tier", tier);
    settings.put(
        "obligations",
        Map.of(
            "grace_to_answer_ns",
            20 * MS,
            "stop_sending_within_ns",
            graceNanos,
            "must_ask_in_ns",
            mustAskNanos,
            "warm_up_ns",
            20_000 * MS));
    Map<String, Object> config = new LinkedHashMap<>();
    config.put("name", "n1");
    config.put("listen", listen);
    if (operationsApi) {
      config.put("console", "127.0.0.1:0");
    }
    config.put("discovery", discovery);
    config.put("seed", "8c1f30d27a5be964");
    config.put("limits", Map.of("sockets", maxSockets, "memory_mb", 192));
    config.put("known", Map.of("revision", 41, "complete", true, "members", members));
    config.put("settings", settings);
    return config;
  }

  BalancerFixture start() throws Exception {
    build();
    balancer.start();
    return this;
  }

  /** Creates the balancer without starting it. */
  BalancerFixture build() throws Exception {
    NodeConfig config = NodeConfig.parse(config(), environment);
    balancer = new PlatformNode(config, environment);
    node = balancer.node();
    return this;
  }

  PlatformNode balancer() {
    return balancer;
  }

  ConfigReload reload() {
    return balancer.reload();
  }

  Node node() {
    return node;
  }

  InetSocketAddress address() {
    return node.address();
  }

  /**
   * Blocks the event loop until the returned blocker is closed; events that arrive meanwhile are
   * then handled in one turn of the loop.
   */
  EventLoopBlocker blockLoop() throws InterruptedException {
    return new EventLoopBlocker(node.loop());
  }

  /** Waits until the event loop has handled the input that had arrived before the call. */
  void awaitTurnsOfLoop() {
    for (int turns = 0; turns < 3; turns++) {
      node.loop().submit(() -> {}).syncUninterruptibly();
    }
  }

  /** Waits until this many requests are open. */
  void awaitLiveRequests(int requests) throws InterruptedException {
    Await.until(
        "live requests: " + requests,
        () ->
            node.loop()
                    .submit(() -> node.dispatcher().liveRequestCount())
                    .syncUninterruptibly()
                    .getNow()
                == requests);
  }

  /** Whether the upstream of this name is on the balancer's list. */
  boolean hasUpstream(String name) {
    return node.loop()
        .submit(() -> node.dispatcher().loads(Integer.MAX_VALUE).containsKey(name))
        .syncUninterruptibly()
        .getNow();
  }

  /** The number of client and upstream connections that the balancer counts. */
  int connections() {
    return node.loop().submit(() -> node.budget().connections()).syncUninterruptibly().getNow();
  }

  /** Makes one call to the operations API and returns its status. */
  int callOperations(String method, String path) throws Exception {
    try (TestClient client = new TestClient(balancer.operations().address())) {
      return client.call(method + " " + path + " HTTP/1.1\r\nHost: console\r\n\r\n").status();
    }
  }

  InetSocketAddress operationsAddress() {
    return balancer.operations().address();
  }

  TestClient client() throws Exception {
    return new TestClient(node.address());
  }

  @Override
  public void close() {
    balancer.stop();
  }
}
