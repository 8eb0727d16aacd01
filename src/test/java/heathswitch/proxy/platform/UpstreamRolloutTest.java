package heathswitch.proxy.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** While upstreams are released, the few that serve take what the whole fleet did. */
@Timeout(60)
class UpstreamRolloutTest {
  private static final int FLIGHT = 20;

  private final PendingCalls held = new PendingCalls();
  private final List<TestClient> clients = new ArrayList<>();
  private StubServer peer;
  private BalancerFixture fixture;

  @BeforeEach
  void start() throws Exception {
    peer = held.upstream();
    fixture = new BalancerFixture().upstream(peer).start();
  }

  @AfterEach
  void stop() throws Exception {
    for (TestClient client : clients) {
      client.close();
    }
    fixture.close();
    peer.close();
  }

  private TestClient send() throws Exception {
    TestClient client = fixture.client();
    clients.add(client);
    client.send(TestClient.get("/api/x", "").replace("r1", "r" + clients.size()));
    return client;
  }

  @Test
  void anUpstreamThatIsNewTakesAFullFlightAtOnce() throws Exception {
    for (int i = 0; i < FLIGHT; i++) {
      send();
    }
    for (int i = 0; i < FLIGHT; i++) {
      held.next().answer(200, "", "ok");
    }
    for (TestClient client : clients) {
      assertEquals(200, client.read().status());
    }
  }

  @Test
  void anUpstreamThatTurnedACallAwayIsUsedAgainBeforeItsFlightIsHome() throws Exception {
    List<StubServer.Connection> flight = new ArrayList<>();
    for (int i = 0; i < FLIGHT; i++) {
      send();
      flight.add(held.next());
    }
    TestClient refused = send();
    held.next().answer(503, "X-Not-Run: 1\r\n", "full");
    assertEquals(503, refused.read().status());

    int home = FLIGHT - 4;
    for (int i = 0; i < home; i++) {
      flight.get(i).answer(200, "", "ok");
      assertEquals(200, clients.get(i).read().status());
    }
    TestClient later = send();
    held.next().answer(200, "", "ok");
    assertEquals(200, later.read().status());
  }
}
