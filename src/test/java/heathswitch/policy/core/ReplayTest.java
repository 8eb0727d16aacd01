package heathswitch.policy.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import heathswitch.policy.api.Health;
import heathswitch.policy.api.ListUpdate;
import heathswitch.policy.api.Outcome;
import heathswitch.policy.api.RequestClass;
import heathswitch.policy.api.ServerEntry;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Compares the actions for a random sequence of events with a recording made with weights of one.
 * While all weights are equal, whatever their value, no action may differ. The recording was first
 * made before servers had weights, and made again when the warm-up of a server began to count from
 * when its start is reported.
 */
class ReplayTest {
  private static final int EVENTS = 30_000;
  private static final int EVENTS_PER_LINE = 500;
  private static final String RECORDING = "/replay/equal-weights.txt";

  private static final String[] CLASSES = {"a", "k", "u"};

  private static final Outcome[] OUTCOMES = {
    Outcome.ERROR, Outcome.REFUSED, Outcome.RESET, Outcome.CONNECT_FAILED, Outcome.TIMEOUT
  };

  @ParameterizedTest
  @ValueSource(doubles = {1, 3, 0.1, 0.7})
  void equalWeightsDoNotChangeActions(double weight) throws Exception {
    try (InputStream recorded = ReplayTest.class.getResourceAsStream(RECORDING)) {
      String expected = new String(recorded.readAllBytes(), StandardCharsets.US_ASCII);
      assertEquals(expected, replay(new double[] {weight}));
    }
  }

  /** Otherwise the comparison above would also pass for a balancer that ignores weights. */
  @Test
  void unequalWeightsChangeActions() throws Exception {
    assertNotEquals(replay(new double[] {1}), replay(new double[] {1, 2}));
  }

  /** Writes a new recording to the given file. */
  public static void main(String[] args) throws Exception {
    Files.writeString(Path.of(args[0]), replay(new double[] {1}));
  }

  private static String replay(double[] weights) throws Exception {
    BalancerHarness harness =
        new BalancerHarness(
            BalancerHarness.settings(
                0,
                BalancerHarness.safeClass("a"),
                BalancerHarness.requestClass(
                    "k", RequestClass.Effect.KEYED, RequestClass.Group.CELL),
                BalancerHarness.requestClass(
                    "u", RequestClass.Effect.UNSAFE, RequestClass.Group.ALL)),
            7);
    SplittableRandom random = new SplittableRandom(11);
    List<BalancerHarness.Sent> inFlight = new ArrayList<>();
    int recorded = 0;
    long requests = 0;
    StringBuilder lines = new StringBuilder();
    StringBuilder actions = new StringBuilder();
    harness.servers(list(24, random, harness.now, weights));
    for (int i = 1; i <= EVENTS; i++) {
      harness.advance(random.nextInt(1, 8_000_000));
      int event = random.nextInt(1000);
      if (event < 2) {
        ListUpdate update = random.nextBoolean() ? ListUpdate.FULL : ListUpdate.DELTA;
        ServerEntry[] entries = list(1 + random.nextInt(40), random, harness.now, weights);
        harness.balancer.onListUpdate(harness.now, update, List.of(entries));
      } else if (event < 500) {
        harness.request(++requests, CLASSES[(int) (requests % CLASSES.length)]);
      } else if (!inFlight.isEmpty()) {
        BalancerHarness.Sent sent = inFlight.remove(random.nextInt(Math.min(inFlight.size(), 20)));
        boolean ok = random.nextInt(12) > 0;
        harness.outcome(sent, ok ? Outcome.OK : OUTCOMES[random.nextInt(OUTCOMES.length)], ok);
      }
      for (; recorded < harness.sent.size(); recorded++) {
        BalancerHarness.Sent sent = harness.sent.get(recorded);
        inFlight.add(sent);
        actions.append(sent).append('\n');
      }
      if (i % EVENTS_PER_LINE == 0) {
        actions.append(harness.refused).append(harness.failed).append(harness.cancelled);
        byte[] digest =
            MessageDigest.getInstance("SHA-256")
                .digest(actions.toString().getBytes(StandardCharsets.UTF_8));
        lines
            .append(HexFormat.of().formatHex(digest, 0, 12))
            .append(" sent ")
            .append(harness.sent.size())
            .append(" refused ")
            .append(harness.refused.size())
            .append('\n');
      }
    }
    return lines.toString();
  }

  private static ServerEntry[] list(
      int count, SplittableRandom random, long now, double[] weights) {
    ServerEntry[] entries = new ServerEntry[count];
    for (int i = 0; i < count; i++) {
      Health health = random.nextInt(12) == 0 ? Health.DRAINING : Health.READY;
      long started =
          random.nextInt(6) == 0 ? now - random.nextLong(30 * BalancerHarness.SECOND) : 0;
      String zone = i % 3 == 0 ? "b" : "a";
      entries[i] =
          new ServerEntry(i + 1, zone, "kind", i % 4, health, weights[i % weights.length], started);
    }
    return entries;
  }
}
