package heathswitch.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import heathswitch.policy.api.Actions;
import heathswitch.policy.api.Health;
import heathswitch.policy.api.ListUpdate;
import heathswitch.policy.api.Outcome;
import heathswitch.policy.api.RequestClass;
import heathswitch.policy.api.RequestClass.Effect;
import heathswitch.policy.api.RequestClass.Group;
import heathswitch.policy.api.RequestProtocol;
import heathswitch.policy.api.ServerEntry;
import heathswitch.policy.api.Settings;
import heathswitch.policy.core.Balancer;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Embeds the policy as the example in the README does. */
class EmbeddingTest {
  private static final long SECOND = 1_000_000_000L;

  private static Settings settings(long aimNanos) {
    return new Settings(
        List.of(
            new RequestClass(
                "read", Effect.SAFE, Group.ALL, aimNanos, 4 * SECOND, 0, 1, 0.2, false)),
        List.of(),
        1,
        false,
        0,
        0,
        1,
        "here",
        false,
        new Settings.Limits(3, true, true, 5 * SECOND, SECOND / 4, SECOND),
        new Settings.Obligations(0, SECOND, 10 * SECOND, 0.2, 20 * SECOND, 2.5, 2 * SECOND));
  }

  @Test
  void sendsRequestToListedServer() {
    List<String> calls = new ArrayList<>();
    Actions actions =
        new Actions() {
          @Override
          public void send(long requestId, long serverId, long attemptDeadlineNanos) {
            calls.add("send " + requestId + " to " + serverId);
          }

          @Override
          public void cancel(long requestId, int attempt) {}

          @Override
          public void refuse(long requestId, long retryAfterNanos) {
            calls.add("refuse " + requestId);
          }

          @Override
          public void fail(long requestId) {
            calls.add("fail " + requestId);
          }

          @Override
          public void setTimer(long delayNanos, long token) {}

          @Override
          public void watch(boolean enable) {}

          @Override
          public void fetch() {}

          @Override
          public void log(String message) {}
        };
    long now = 5 * SECOND;
    Balancer balancer = new Balancer(settings(SECOND), 1, actions);
    balancer.start(now);
    balancer.onListUpdate(
        now, ListUpdate.FULL, List.of(new ServerEntry(9, "here", "big", 0, Health.READY, 1, 0)));
    balancer.onRequest(now, 1, "read", null, 4 * SECOND, false, RequestProtocol.HTTP1);
    long later = now + SECOND / 10;
    balancer.onOutcome(later, 1, 0, Outcome.OK, later - now, true);
    assertEquals(List.of("send 1 to 9"), calls);
  }

  @Test
  void invalidSettingsNameTheField() {
    IllegalArgumentException e = assertThrows(IllegalArgumentException.class, () -> settings(-1));
    assertEquals("invalid setting: classes[].aim_ns", e.getMessage());
  }
}
