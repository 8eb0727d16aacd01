package heathswitch.proxy.standalone;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import heathswitch.proxy.members.MembersWatcher;
import heathswitch.testbed.balancer.Workplace;
import heathswitch.testbed.client.OpenLoop;
import heathswitch.testbed.client.Tally;
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

/** A balancer that starts on its own, under load over loopback, while its files are rewritten. */
@Timeout(120)
class StandaloneTest {
  private static final String QUICK =
      "poll = \"2ms\"\nsettle = \"10ms\"\ndrain = \"200ms\"\nremoval_window = \"0ms\"\n"
          + "most_removed = 0.5\n";

  private static long lost(OpenLoop load) {
    return load.tally().count(Tally.Result.LOST);
  }

  /**
   * One call after the other and all alike, so that little but the weights tells the servers apart;
   * a busy machine may still slow some of them, and the exact shares are the module's own test.
   */
  @Test
  void servesByWeightsFromAFile() throws Exception {
    try (StandaloneFixture fixture = new StandaloneFixture().servers(3, ServiceTime.fixed(3))) {
      fixture.write(
          Workplace.text(
              List.of(fixture.listed(0, 1), fixture.listed(1, 2), fixture.listed(2, 4))));
      fixture.start(QUICK);
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
        assertEquals(100 << i, fixture.servers.get(i).served(), 25 << i, "server " + i);
      }
    }
  }

  /**
   * Good, cut, empty and garbled files in turn: no request is lost, the good lists are followed.
   */
  @Test
  void rewritesUnderLoadLoseNothing() throws Exception {
    try (StandaloneFixture fixture = new StandaloneFixture().servers(4)) {
      fixture.write(fixture.table(0, 1, 2, 3));
      fixture.start(QUICK);
      OpenLoop load = fixture.load(300);
      SplittableRandom random = new SplittableRandom(9);
      MembersWatcher members = fixture.node().members();
      Path file = fixture.workplace.members();
      for (int i = 0; i < 40; i++) {
        String good = "# " + i + "\n" + fixture.table(i % 4, (i + 1) % 4, (i + 2) % 4);
        long refused = members.status().refusedTotal();
        int cut = random.nextInt(1, good.length() - 1);
        Files.writeString(file, i % 3 == 0 ? "garbage " + i : good.substring(0, cut));
        Await.until("refused", () -> members.status().refusedTotal() > refused);
        long version = members.status().version();
        fixture.write(good);
        Await.until("accepted", () -> members.status().version() > version);
      }
      long enough = load.tally().total() + 100;
      Await.until("calls go on", () -> load.tally().total() > enough);
      load.stop();
      assertEquals(0, lost(load));
      assertEquals(0, load.tally().count(Tally.Result.FAILED));
    }
  }

  /** Drained at once, and nothing new reaches it however long the load goes on. */
  @Test
  void aServerThatLeftGetsNothingNew() throws Exception {
    try (StandaloneFixture fixture = new StandaloneFixture().servers(3)) {
      fixture.write(fixture.table(0, 1, 2));
      fixture.start(QUICK);
      OpenLoop load = fixture.load(400);
      Await.until("calls", () -> fixture.servers.get(2).received() > 20);
      fixture.write(fixture.table(0, 1));
      MembersWatcher members = fixture.node().members();
      Await.until("told", () -> members.status().version() == 2 && members.status().applied());
      // What was being written when the loop heard of it may still arrive, on a busy machine late:
      // then no call of many goes there, of which it was due a third.
      long[] seen = {-1, 0};
      Await.until(
          "nothing new there",
          () -> {
            boolean more = load.tally().total() > seen[1] + 60;
            boolean still = more && seen[0] == fixture.servers.get(2).received();
            if (more) {
              seen[0] = fixture.servers.get(2).received();
              seen[1] = load.tally().total();
            }
            return still;
          });
      long received = seen[0];
      Await.until("gone", () -> members.status().draining() == 0);
      long later = load.tally().total() + 200;
      Await.until("calls", () -> load.tally().total() > later);
      assertEquals(received, fixture.servers.get(2).received());
      load.stop();
      assertEquals(0, lost(load));
    }
  }

  /** The list is so long that it is told in many turns of the loop; calls are served meanwhile. */
  @Test
  void aLongListIsToldWhole() throws Exception {
    try (StandaloneFixture fixture = new StandaloneFixture().servers(2)) {
      fixture.write(fixture.table(0, 1));
      fixture.start(QUICK);
      StringBuilder text = new StringBuilder();
      for (int i = 0; i < 10_000; i++) {
        text.append(
            "off-" + i + " 127.1." + (i >> 8) + '.' + (i & 255) + ":9 a front 0 1 terminating\n");
      }
      String both = fixture.table(0, 1).replace("end 2", "end 10002");
      fixture.write(text + both);
      MembersWatcher members = fixture.node().members();
      Await.until("told", () -> members.status().version() == 2 && members.status().applied());
      assertEquals(10_002, members.status().servers());
      assertEquals(2, members.status().inService());
      OpenLoop load = fixture.load(400);
      Await.until("served", () -> load.tally().count(Tally.Result.SERVED) > 100);
      load.stop();
      assertEquals(0, lost(load)); // On a busy machine a call may be turned away, at once.
    }
  }

  /** The configuration is read again while the list is half written. */
  @Test
  void aReloadDuringARewriteTakesNothingByHalves() throws Exception {
    try (StandaloneFixture fixture = new StandaloneFixture().servers(3)) {
      fixture.write(fixture.table(0, 1));
      fixture.start(QUICK);
      MembersWatcher members = fixture.node().members();
      String next = fixture.table(0, 1, 2);
      Path file = fixture.workplace.members();
      Files.writeString(file, next.substring(0, next.length() / 2));
      fixture.node().reload();
      Await.until("refused", () -> members.status().refusedTotal() > 0);
      assertEquals(1, members.status().version());
      Files.writeString(file, next);
      fixture.node().reload();
      Await.until("accepted", () -> members.status().version() == 2);
      // A configuration with faults changes nothing.
      Path config = fixture.workplace.folder().resolve("balancer.toml");
      Files.writeString(
          config, Files.readString(config).replace("members.txt", "other.txt") + "x = 1");
      fixture.node().reload();
      fixture.write(fixture.table(0, 2));
      Await.until("accepted", () -> members.status().version() == 3);
    }
  }

  /** One signal; the file cannot be read when it comes, and can a moment later. */
  @Test
  void aReloadWhoseFileCannotBeReadIsTriedAgain() throws Exception {
    try (StandaloneFixture fixture = new StandaloneFixture().servers(3)) {
      fixture.write(fixture.table(0, 1));
      fixture.start(QUICK);
      Path config = fixture.workplace.folder().resolve("balancer.toml");
      Path other = fixture.workplace.members().resolveSibling("other.txt");
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
  void startsFromTheKeptListWhenTheFileIsGone() throws Exception {
    try (StandaloneFixture fixture = new StandaloneFixture().servers(2)) {
      fixture.write(fixture.table(0, 1));
      fixture.start(QUICK);
      fixture.node().stop();
      Files.delete(fixture.workplace.members());
      fixture.start(QUICK);
      assertEquals(1, fixture.node().members().status().version());
      OpenLoop load = fixture.load(200);
      Await.until("calls", () -> load.tally().count(Tally.Result.SERVED) > 20);
      load.stop();
    }
  }

  @Test
  void aStartWithNoListFailsWithAllReasons() throws Exception {
    try (StandaloneFixture fixture = new StandaloneFixture()) {
      MembersWatcher.StartException fault =
          assertThrows(MembersWatcher.StartException.class, () -> fixture.start(QUICK));
      assertTrue(fault.getMessage().contains("members.state is not there"), fault.getMessage());
      assertTrue(fault.getMessage().contains("members.txt: is not there"), fault.getMessage());
      assertNull(fixture.node());
    }
  }
}
