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
 * A reload under requests: each is decided wholly by the settings that it was taken under. Before
 * the reload "view" may be repeated, after it it must never run twice, and the other way round.
 */
@Timeout(60)
class ReloadSettingsTest {
  /** Calls that an upstream gets at once before it has answered any. */
  private static final int WINDOW = 32;

  @TempDir Path folder;

  private final PendingCalls held = new PendingCalls();
  private final List<TestClient> clients = new ArrayList<>();
  private Path file;
  private StubServer upstream;
  private BalancerFixture fixture;

  @BeforeEach
  void put() throws Exception {
    file = folder.resolve("config.json");
    upstream = held.upstream();
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
    fixture.file(file).start();
  }

  private TestClient client() throws Exception {
    TestClient client = fixture.client();
    clients.add(client);
    return client;
  }

  /** The other way round, and in force when this returns. */
  private void reload() throws Exception {
    fixture.classes("view", "non_idempotent", "publish", "read_like").file(file);
    fixture.reload().reload();
    fixture.node().loop().submit(() -> {}).sync();
  }

  private static String get(String type, String id) {
    return TestClient.get("/api/x", "").replace("r1", id).replace("view", type);
  }

  private static String post(String type, String id) {
    return TestClient.post(type, "", "x").replace("r1", id);
  }

  @Test
  void anAttemptThatIsOutIsRepeatedAsItCouldBeWhenItWasTaken() throws Exception {
    start();
    TestClient before = client();
    before.send(get("view", "r1"));
    StubServer.Connection attempt = held.next();
    reload();
    attempt.reset();
    held.next().answer(200, "", "second");
    assertEquals("second", before.read().text());
  }

  @Test
  void whatMustNotRunTwiceStaysSoThoughItsClassMayNow() throws Exception {
    start();
    TestClient before = client();
    before.send(post("publish", "r1"));
    StubServer.Connection attempt = held.next();
    reload();
    attempt.reset();
    assertEquals(502, before.read().status(), "failed: it may have run");
    TestClient after = client();
    after.send(get("publish", "r2"));
    held.next().reset();
    held.next().answer(200, "", "second");
    assertEquals("second", after.read().text());
    assertTrue(held.isEmpty());
  }

  @Test
  void oneBetweenTwoAttemptsGoesOnAsItBegan() throws Exception {
    start();
    TestClient before = client();
    before.send(get("view", "r1"));
    StubServer.Connection attempt = held.next();
    try (EventLoopBlocker gate = fixture.holdLoop()) {
      attempt.reset(); // The end of the first attempt and the reload come in one turn.
      fixture.classes("view", "non_idempotent", "publish", "read_like").file(file);
      fixture.reload().reload();
    }
    held.next().answer(200, "", "second");
    assertEquals("second", before.read().text());
  }

  @Test
  void oneThatWaitsIsSentAndRepeatedAsItWasTaken() throws Exception {
    fixture.tier(1);
    start();
    List<StubServer.Connection> full = new ArrayList<>();
    for (int i = 0; i < WINDOW; i++) {
      client().send(get("view", "full" + i));
      full.add(held.next());
    }
    TestClient waits = client();
    waits.send(get("view", "r1"));
    fixture.awaitLive(WINDOW + 1);
    reload();
    full.get(0).answer(200, "", "room");
    held.next().reset();
    held.next().answer(200, "", "served");
    assertEquals("served", waits.read().text());
  }

  @Test
  void aRequestThatWasHalfReadIsTakenWhollyUnderTheNewSettings() throws Exception {
    start();
    TestClient half = client();
    String request = post("publish", "r1");
    half.send(request.substring(0, request.length() - 1));
    TestClient probe = client(); // Its answer shows that the loop has read what came before.
    assertEquals(200, probe.call(TestClient.get("/up", "")).status());
    reload();
    half.send(request.substring(request.length() - 1));
    assertEquals(400, half.read().status(), "its method is not that of its class any more");
    assertTrue(held.isEmpty());
  }

  @Test
  void aNewRequestIsTakenUnderTheNewSettings() throws Exception {
    start();
    reload();
    assertEquals(400, client().call(get("view", "r1")).status());
    TestClient after = client();
    after.send(post("view", "r2"));
    held.next().reset();
    assertEquals(502, after.read().status(), "failed: it may have run");
  }

  @Test
  void aBrokenFileChangesNothing() throws Exception {
    // An answer that comes late would draw a second copy, whose call would be held for the next.
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
      held.next().answer(200, "", "ok");
      assertEquals("ok", client.read().text());
    }
  }
}
