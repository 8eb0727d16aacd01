package heathswitch.proxy.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Reloads while requests are open: each request is handled entirely by the settings under which it
 * was accepted. Before the reload the class "view" may be repeated and after it must not run twice;
 * for the class "publish" it is the other way round.
 */
@Timeout(60)
class ReloadSettingsTest {
  /** How many calls at once an upstream gets before it has answered any. */
  private static final int WINDOW = 32;

  @TempDir Path folder;

  private final PendingCalls calls = new PendingCalls();
  private final List<TestClient> clients = new ArrayList<>();
  private Path file;
  private StubServer upstream;
  private BalancerFixture fixture;

  @BeforeEach
  void setUp() throws Exception {
    file = folder.resolve("config.json");
    upstream = calls.startUpstream();
    fixture = new BalancerFixture().upstream(upstream);
  }

  @AfterEach
  void stop() throws Exception {
    for (TestClient client : clients) {
      client.close();
    }
    fixture.close();
    upstream.close();
  }

  private void start() throws Exception {
    fixture.writeConfig(file).start();
  }

  private TestClient client() throws Exception {
    TestClient client = fixture.client();
    clients.add(client);
    return client;
  }

  /** Swaps the effects of the two classes; the new settings are in force when this returns. */
  private void reload() throws Exception {
    fixture.classes("view", "non_idempotent", "publish", "read_like").writeConfig(file);
    fixture.reload().reload();
    fixture.node().loop().submit(() -> {}).sync();
  }

  private static String get(String requestClass, String id) {
    return TestClient.get("/api/x", "").replace("r1", id).replace("view", requestClass);
  }

  private static String post(String requestClass, String id) {
    return TestClient.post(requestClass, "", "x").replace("r1", id);
  }

  @Test
  void openRequestIsRetriedByItsOldSettings() throws Exception {
    start();
    TestClient before = client();
    before.send(get("view", "r1"));
    StubServer.Connection attempt = calls.next();
    reload();
    attempt.reset();
    calls.next().answer(200, "", "second");
    assertEquals("second", before.read().text());
  }

  @Test
  void openUnsafeRequestIsNotRetriedThoughItsClassIsNowSafe() throws Exception {
    start();
    TestClient before = client();
    before.send(post("publish", "r1"));
    StubServer.Connection attempt = calls.next();
    reload();
    attempt.reset();
    assertEquals(502, before.read().status(), "failed: it may have run");
    TestClient after = client();
    after.send(get("publish", "r2"));
    calls.next().reset();
    calls.next().answer(200, "", "second");
    assertEquals("second", after.read().text());
    assertTrue(calls.isEmpty());
  }

  @Test
  void requestBetweenTwoAttemptsKeepsItsOldSettings() throws Exception {
    start();
    TestClient before = client();
    before.send(get("view", "r1"));
    StubServer.Connection attempt = calls.next();
    try (EventLoopBlocker blocker = fixture.blockLoop()) {
      attempt.reset(); // The loop handles the reset and the reload in one turn.
      fixture.classes("view", "non_idempotent", "publish", "read_like").writeConfig(file);
      fixture.reload().reload();
    }
    calls.next().answer(200, "", "second");
    assertEquals("second", before.read().text());
  }

  @Test
  void queuedRequestIsSentAndRetriedByItsOldSettings() throws Exception {
    fixture.tier(1);
    start();
    List<StubServer.Connection> windowFillers = new ArrayList<>();
    for (int i = 0; i < WINDOW; i++) {
      client().send(get("view", "full" + i));
      windowFillers.add(calls.next());
    }
    TestClient queued = client();
    queued.send(get("view", "r1"));
    fixture.awaitLiveRequests(WINDOW + 1);
    reload();
    windowFillers.get(0).answer(200, "", "room");
    calls.next().reset();
    calls.next().answer(200, "", "served");
    assertEquals("served", queued.read().text());
  }

  @Test
  void partiallyReadRequestIsAcceptedByNewSettings() throws Exception {
    start();
    TestClient half = client();
    String request = post("publish", "r1");
    half.send(request.substring(0, request.length() - 1));
    TestClient probe = client(); // Its answer shows that the loop has read the bytes before it.
    assertEquals(200, probe.call(TestClient.get("/up", "")).status());
    reload();
    half.send(request.substring(request.length() - 1));
    assertEquals(400, half.read().status(), "its class no longer allows the method");
    assertTrue(calls.isEmpty());
  }

  @Test
  void newRequestUsesNewSettings() throws Exception {
    start();
    reload();
    assertEquals(400, client().call(get("view", "r1")).status());
    TestClient after = client();
    after.send(post("view", "r2"));
    calls.next().reset();
    assertEquals(502, after.read().status(), "failed: it may have run");
  }

  @Test
  void invalidFileChangesNothing() throws Exception {
    // A late answer would cause a hedge, which the next round would take for its own call.
    fixture.limit("may_duplicate", false);
    start();
    for (String broken :
        List.of(
            "",
            "{ cut off",
            "[]",
            Files.readString(file).replace("hard_limit_ns", "no_limit"),
            Files.readString(file).replace("127.0.0.1:1\"", "nowhere\""))) {
      Files.writeString(file, broken);
      fixture.reload().reload();
      fixture.node().loop().submit(() -> {}).sync();
      TestClient client = client();
      client.send(get("view", "r1"));
      calls.next().answer(200, "", "ok");
      assertEquals("ok", client.read().text());
    }
  }
}
