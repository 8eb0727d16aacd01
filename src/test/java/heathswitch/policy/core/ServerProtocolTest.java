package heathswitch.policy.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import heathswitch.policy.api.Health;
import heathswitch.policy.api.ListUpdate;
import heathswitch.policy.api.Outcome;
import heathswitch.policy.api.RequestProtocol;
import heathswitch.policy.api.ServerEntry;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** No attempt goes to a server that does not support the request's protocol. */
class ServerProtocolTest {
  private static final int HTTP1 = 1;
  private static final int GRPC = 2;

  private static ServerEntry server(long id, int protocols) {
    return new ServerEntry(id, "a", "kind", 0, Health.READY, 1, 0, protocols);
  }

  /** Even if few of 200 servers support it, and after failed attempts. */
  @ParameterizedTest
  @EnumSource(RequestProtocol.class)
  void sendsOnlyToServersThatSupportTheProtocol(RequestProtocol protocol) {
    for (int supporting : new int[] {1, 2, 50}) {
      BalancerHarness harness =
          new BalancerHarness(BalancerHarness.settings(0, BalancerHarness.safeClass("read")));
      List<ServerEntry> list = new ArrayList<>();
      Set<Long> supportingIds = new HashSet<>();
      for (int i = 1; i <= 200; i++) {
        boolean supported = i <= supporting;
        int other = protocol.protocolBit() == HTTP1 ? GRPC : HTTP1;
        list.add(
            server(i, !supported ? other : i % 2 == 0 ? HTTP1 | GRPC : protocol.protocolBit()));
        if (supported) {
          supportingIds.add((long) i);
        }
      }
      harness.balancer.onListUpdate(harness.now, ListUpdate.FULL, list);
      for (int i = 1; i <= 20; i++) {
        harness.balancer.onRequest(
            harness.now, i, "read", null, 4 * BalancerHarness.SECOND, false, protocol);
      }
      assertEquals(20, harness.sent.size(), "all sent, servers with the protocol: " + supporting);
      for (int i = 0; i < harness.sent.size(); i++) {
        BalancerHarness.Sent send = harness.sent.get(i);
        assertTrue(supportingIds.contains(send.server()), "sent to " + send.server());
        if (i < 40) {
          harness.outcome(send, i % 2 == 0 ? Outcome.CONNECT_FAILED : Outcome.ERROR, false);
        }
      }
    }
  }

  /** The rest of a request that is still arriving cannot go to two servers. */
  @Test
  void doesNotHedgeStreamingRequests() {
    for (RequestProtocol protocol : RequestProtocol.values()) {
      BalancerHarness harness =
          new BalancerHarness(BalancerHarness.settings(0, BalancerHarness.safeClass("read")));
      harness.balancer.onListUpdate(
          harness.now, ListUpdate.FULL, List.of(server(1, HTTP1 | GRPC), server(2, HTTP1 | GRPC)));
      harness.balancer.onRequest(
          harness.now, 1, "read", null, 40 * BalancerHarness.SECOND, false, protocol);
      harness.advance(30 * BalancerHarness.SECOND);
      assertEquals(
          protocol.hedgeable() ? 2 : 1, Math.min(2, harness.sent.size()), protocol.toString());
    }
  }
}
