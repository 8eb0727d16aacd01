package heathswitch.proxy.gossip;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import heathswitch.proxy.config.ConfigDocument;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests the configuration table {@code [peers]}. */
class PeersTableTest {
  private static final String MINIMAL =
      """
      [peers]
      instance = "edge-1"
      listen = "127.0.0.1:9701"
      seeds = ["127.0.0.1:9702"]
      keys = "peers.keys"
      """;

  @TempDir Path folder;

  private ConfigDocument read(String text) throws Exception {
    return ConfigDocument.read(Files.writeString(folder.resolve("c.toml"), text));
  }

  private List<String> faults(String from, String to) throws Exception {
    assertTrue(MINIMAL.contains(from), from);
    ConfigDocument document = read(MINIMAL.replace(from, to));
    PeersTable.read(document, "a");
    document.root().rejectUnknownKeys();
    return document.errors().stream()
        .map(fault -> fault.toString().replaceAll("^.*c.toml:", ""))
        .toList();
  }

  @Test
  void minimalTableIsReadWithDefaults() throws Exception {
    ConfigDocument document = read(MINIMAL);
    PeersTable table = PeersTable.read(document, null);
    assertEquals(List.of(), document.errors());
    assertEquals("127.0.0.1:9701", table.address());
    assertEquals(1_000_000_000L, table.timing().probePeriodNanos());
    assertEquals("", table.zone());
    assertEquals(folder.resolve("peers.keys"), table.keys());
    assertNull(PeersTable.read(read(""), "a"));
  }

  @Test
  void faultsAreReportedWithTheirPosition() throws Exception {
    assertEquals(
        List.of("2:1: peers.instance: is \"a b\"; 1 to 64 of A-Z a-z 0-9 . _ - expected"),
        faults("edge-1", "a b"));
    assertEquals(
        List.of("4:1: peers.seeds: has \"edge-2\"; up to 32 ADDRESS:PORT expected"),
        faults("127.0.0.1:9702", "edge-2"));
    assertTrue(faults("127.0.0.1:9701", "10.0.0.1:9701").get(0).contains("is not on loopback"));
    assertTrue(faults("127.0.0.1:9701", "0.0.0.0:9701").get(0).contains("of one machine"));
    assertTrue(faults("[peers]", "[peers]\nperiod = \"500ms\"").get(0).contains("half"));
    assertEquals(
        List.of("1:1: peers.keys: missing; a text expected"),
        faults("keys = \"peers.keys\"\n", ""));
    String override = "[[peers.way]]\nto = \"127.0.0.1:1\"\nby = \"127.0.0.1:2\"\n";
    String keys = "keys = \"peers.keys\"\n";
    assertTrue(faults(keys, keys + override + override).get(0).contains("is a duplicate"));
  }
}
