package heathswitch.proxy.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** During a rollout of the upstreams, the few in service get the load of the whole fleet. */
@Timeout(60)
class UpstreamRolloutTest {
  private static final int CONCURRENT_CALLS = 20;

  private final PendingCalls calls = new PendingCalls();
  private final List<TestClient> clients = new ArrayList<>();
  private StubServer upstream;
  private BalancerFixture fixture;

  @BeforeEach
  void start() throws Exception {
    upstream = calls.startUpstream();
    fixture = new BalancerFixture().upstream(upstream).start();
  }

  @AfterEach
  void stop() throws Exception {
    for (TestClient client : clients) {
      client.close();
    }
    fixture.close();
    upstream.close();
  }

  private TestClient send() throws Exception {
    TestClient client = fixture.client();
    clients.add(client);
    client.send(TestClient.get("/api/x", "").replace("r1", "r" + clients.size()));
    return client;
  }

  @Test
  void newUpstreamGetsManyConcurrentCallsAtOnce() throws Exception {
    for (int i = 0; i < CONCURRENT_CALLS; i++) {
      send();
    }
    for (int i = 0; i < CONCURRENT_CALLS; i++) {
      calls.next().answer(200, "", "ok");
    }
    for (TestClient client : clients) {
      assertEquals(200, client.read().status());
    }
  }

  @Test
  void upstreamThatRefusedCallIsUsedAgainBeforeAllOpenCallsAreAnswered() throws Exception {
    List<StubServer.Connection> openCalls = new ArrayList<>();
    for (int i = 0; i < CONCURRENT_CALLS; i++) {
      send();
      openCalls.add(calls.next());
    }
    TestClient refused = send();
    calls.next().answer(503, "X-Not-Run: 1\r\n", "full");
    assertEquals(503, refused.read().status());

    int answered = CONCURRENT_CALLS - 4;
    for (int i = 0; i < answered; i++) {
      openCalls.get(i).answer(200, "", "ok");
      assertEquals(200, clients.get(i).read().status());
    }
    TestClient later = send();
    calls.next().answer(200, "", "ok");
    assertEquals(200, later.read().status());
  }
}
