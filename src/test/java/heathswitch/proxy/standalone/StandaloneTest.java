package heathswitch.proxy.standalone;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import heathswitch.proxy.members.MembersWatcher;
import heathswitch.testbed.balancer.BalancerFolder;
import heathswitch.testbed.client.HttpLoadGenerator;
import heathswitch.testbed.client.LoadStats;
import heathswitch.testbed.server.ServiceTime;
import java.io.InputStream;
import java.net.HttpURLConnection;
import java.net.InetSocketAddress;
import java.net.URL;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import testing.Await;

/** Tests a standalone balancer under load over loopback while its files are rewritten. */
@Timeout(120)
class StandaloneTest {
  private static final String FAST_POLLING =
      "poll = \"2ms\"\nsettle = \"10ms\"\ndrain = \"200ms\"\nremoval_window = \"0ms\"\n"
          + "most_removed = 0.5\n";

  private static long lostCount(HttpLoadGenerator load) {
    return load.stats().count(LoadStats.Result.LOST);
  }

  /**
   * Sends identical calls one at a time, so that the shares depend on little but the weights. The
   * bounds are wide because a busy machine may slow some servers; the tests of the policy cover the
   * exact shares.
   */
  @Test
  void distributesCallsByWeightsFromFile() throws Exception {
    try (StandaloneFixture fixture = new StandaloneFixture().servers(3, ServiceTime.fixed(3))) {
      fixture.write(
          BalancerFolder.formatServerList(
              List.of(fixture.listed(0, 1), fixture.listed(1, 2), fixture.listed(2, 4))));
      fixture.start(FAST_POLLING);
      InetSocketAddress at = fixture.node().node().address();
      for (int i = 0; i < 700; i++) {
        URL url = new URL("http", "127.0.0.1", at.getPort(), "/api/" + i);
        HttpURLConnection call = (HttpURLConnection) url.openConnection();
        call.setRequestProperty("X-Request-Id", "r" + i);
        call.setRequestProperty("X-Class", "view");
        try (InputStream in = call.getInputStream()) {
          in.readAllBytes();
        }
      }
      for (int i = 0; i < 3; i++) {
        assertEquals(100 << i, fixture.servers.get(i).servedCount(), 25 << i, "server " + i);
      }
    }
  }

  /**
   * Alternates valid, truncated and garbage files: no request is lost, and each valid list is
   * accepted.
   */
  @Test
  void losesNoRequestWhileFileIsRewritten() throws Exception {
    try (StandaloneFixture fixture = new StandaloneFixture().servers(4)) {
      fixture.write(fixture.table(0, 1, 2, 3));
      fixture.start(FAST_POLLING);
      HttpLoadGenerator load = fixture.load(300);
      SplittableRandom random = new SplittableRandom(9);
      MembersWatcher members = fixture.node().members();
      Path file = fixture.workplace.serverListFile();
      for (int i = 0; i < 40; i++) {
        String valid = "# " + i + "\n" + fixture.table(i % 4, (i + 1) % 4, (i + 2) % 4);
        long refused = members.status().refusedTotal();
        int cut = random.nextInt(1, valid.length() - 1);
        Files.writeString(file, i % 3 == 0 ? "garbage " + i : valid.substring(0, cut));
        Await.until("refused", () -> members.status().refusedTotal() > refused);
        long version = members.status().version();
        fixture.write(valid);
        Await.until("accepted", () -> members.status().version() > version);
      }
      long moreCalls = load.stats().total() + 100;
      Await.until("calls go on", () -> load.stats().total() > moreCalls);
      load.stop();
      assertEquals(0, lostCount(load));
      assertEquals(0, load.stats().count(LoadStats.Result.FAILED));
    }
  }

  /** A removed server is drained at once and receives no new calls while the load continues. */
  @Test
  void removedServerReceivesNoNewCalls() throws Exception {
    try (StandaloneFixture fixture = new StandaloneFixture().servers(3)) {
      fixture.write(fixture.table(0, 1, 2));
      fixture.start(FAST_POLLING);
      HttpLoadGenerator load = fixture.load(400);
      Await.until("calls", () -> fixture.servers.get(2).receivedCount() > 20);
      fixture.write(fixture.table(0, 1));
      MembersWatcher members = fixture.node().members();
      Await.until(
          "list applied", () -> members.status().version() == 2 && members.status().applied());
      // Calls in flight when the change was applied may still arrive, on a busy machine late. Wait
      // until none of 60 further calls reaches the server; as a member it would get a third.
      long[] seen = {-1, 0};
      Await.until(
          "no new calls to the removed server",
          () -> {
            boolean enoughCalls = load.stats().total() > seen[1] + 60;
            boolean unchanged = enoughCalls && seen[0] == fixture.servers.get(2).receivedCount();
            if (enoughCalls) {
              seen[0] = fixture.servers.get(2).receivedCount();
              seen[1] = load.stats().total();
            }
            return unchanged;
          });
      long received = seen[0];
      Await.until("drained", () -> members.status().draining() == 0);
      long furtherCalls = load.stats().total() + 200;
      Await.until("calls", () -> load.stats().total() > furtherCalls);
      assertEquals(received, fixture.servers.get(2).receivedCount());
      load.stop();
      assertEquals(0, lostCount(load));
    }
  }

  /** A list that takes many iterations of the event loop to apply is applied completely. */
  @Test
  void appliesLongListCompletely() throws Exception {
    try (StandaloneFixture fixture = new StandaloneFixture().servers(2)) {
      fixture.write(fixture.table(0, 1));
      fixture.start(FAST_POLLING);
      StringBuilder text = new StringBuilder();
      for (int i = 0; i < 10_000; i++) {
        text.append(
            "off-" + i + " 127.1." + (i >> 8) + '.' + (i & 255) + ":9 a front 0 1 terminating\n");
      }
      String both = fixture.table(0, 1).replace("end 2", "end 10002");
      fixture.write(text + both);
      MembersWatcher members = fixture.node().members();
      Await.until(
          "list applied", () -> members.status().version() == 2 && members.status().applied());
      assertEquals(10_002, members.status().servers());
      assertEquals(2, members.status().inService());
      HttpLoadGenerator load = fixture.load(400);
      Await.until("served", () -> load.stats().count(LoadStats.Result.SERVED) > 100);
      load.stop();
      assertEquals(0, lostCount(load)); // On a busy machine calls may be refused, immediately.
    }
  }

  /** Reloads the configuration while the list of servers is only half written. */
  @Test
  void reloadDuringRewriteAcceptsNoPartialList() throws Exception {
    try (StandaloneFixture fixture = new StandaloneFixture().servers(3)) {
      fixture.write(fixture.table(0, 1));
      fixture.start(FAST_POLLING);
      MembersWatcher members = fixture.node().members();
      String next = fixture.table(0, 1, 2);
      Path file = fixture.workplace.serverListFile();
      Files.writeString(file, next.substring(0, next.length() / 2));
      fixture.node().reload();
      Await.until("refused", () -> members.status().refusedTotal() > 0);
      assertEquals(1, members.status().version());
      Files.writeString(file, next);
      fixture.node().reload();
      Await.until("accepted", () -> members.status().version() == 2);
      // A configuration with errors changes nothing.
      Path config = fixture.workplace.path().resolve("balancer.toml");
      Files.writeString(
          config, Files.readString(config).replace("members.txt", "other.txt") + "x = 1");
      fixture.node().reload();
      fixture.write(fixture.table(0, 2));
      Await.until("accepted", () -> members.status().version() == 3);
    }
  }

  /** The file cannot be read at the only signal, and becomes readable a moment later. */
  @Test
  void retriesReloadWhenFileCannotBeRead() throws Exception {
    try (StandaloneFixture fixture = new StandaloneFixture().servers(3)) {
      fixture.write(fixture.table(0, 1));
      fixture.start(FAST_POLLING);
      Path config = fixture.workplace.path().resolve("balancer.toml");
      Path other = fixture.workplace.serverListFile().resolveSibling("other.txt");
      String next = Files.readString(config).replace("members.txt", "other.txt");
      Files.writeString(other, fixture.table(0, 1, 2));
      Files.delete(config);
      Files.createSymbolicLink(config, config);
      fixture.node().reload();
      Files.delete(config);
      Files.writeString(config, next);
      MembersWatcher members = fixture.node().members();
      Await.until("the other list", () -> members.status().inService() == 3);
    }
  }

  @Test
  void startsFromSavedListWhenFileIsMissing() throws Exception {
    try (StandaloneFixture fixture = new StandaloneFixture().servers(2)) {
      fixture.write(fixture.table(0, 1));
      fixture.start(FAST_POLLING);
      fixture.node().stop();
      Files.delete(fixture.workplace.serverListFile());
      fixture.start(FAST_POLLING);
      assertEquals(1, fixture.node().members().status().version());
      HttpLoadGenerator load = fixture.load(200);
      Await.until("calls", () -> load.stats().count(LoadStats.Result.SERVED) > 20);
      load.stop();
    }
  }

  @Test
  void startWithoutListFailsWithAllReasons() throws Exception {
    try (StandaloneFixture fixture = new StandaloneFixture()) {
      MembersWatcher.StartException exception =
          assertThrows(MembersWatcher.StartException.class, () -> fixture.start(FAST_POLLING));
      assertTrue(
          exception.getMessage().contains("members.state is not there"), exception.getMessage());
      assertTrue(
          exception.getMessage().contains("members.txt: is not there"), exception.getMessage());
      assertNull(fixture.node());
    }
  }
}
