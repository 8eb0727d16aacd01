package heathswitch.proxy.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import heathswitch.proxy.config.ConfigDocument;
import heathswitch.testbed.site.CertificateAuthority;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The configuration table [gateway] and the files that it names. */
class GatewayTableTest {
  private static final String INSECURE =
      """
      [gateway]
      site = "hat-yai"
      listen = "127.0.0.1:0"
      insecure = true
      [[gateway.peer]]
      site = "bangkok"
      gateways = ["127.0.0.1:9441", "127.0.0.1:9442"]
      """;

  @TempDir Path folder;

  private ConfigDocument read(String text) throws Exception {
    return ConfigDocument.read(Files.writeString(folder.resolve("c.toml"), text));
  }

  private List<String> faults(String from, String to) throws Exception {
    assertTrue(INSECURE.contains(from), from);
    ConfigDocument document = read(INSECURE.replace(from, to));
    GatewayTable.read(document);
    document.root().rejectUnknownKeys();
    return document.errors().stream()
        .map(fault -> fault.toString().replaceAll("^.*c.toml:", ""))
        .toList();
  }

  @Test
  void minimalTableIsReadWithDefaults() throws Exception {
    ConfigDocument document = read(INSECURE);
    GatewayTable table = GatewayTable.read(document);
    assertEquals(List.of(), document.errors());
    assertEquals("hat-yai", table.site());
    assertNull(table.keys());
    assertEquals(1_000_000_000L, table.silenceTimeoutNanos());
    assertEquals(2, table.sites().get(0).gateways().size());
    assertNull(GatewayTable.read(read("")));
  }

  @Test
  void faultsAreReportedWithTheirPosition() throws Exception {
    assertEquals(
        List.of(
            "2:1: gateway.site: is \"Hat Yai\"; 1 to 32 of the characters a-z, 0-9 and - expected"),
        faults("hat-yai", "Hat Yai"));
    assertEquals(
        List.of("6:1: gateway.peer[0].site: is this site itself; another site expected"),
        faults("bangkok", "hat-yai"));
    assertEquals(
        List.of(
            "7:1: gateway.peer[0].gateways: has 127.0.0.1:9441 a second time;"
                + " each address once expected"),
        faults("9442", "9441"));
    assertEquals(
        List.of(
            "4:1: gateway.insecure: is for tests on loopback addresses alone;"
                + " certificates expected"),
        faults("127.0.0.1:9442", "10.1.2.3:9442"));
    assertEquals(
        List.of(
            "1:1: gateway: certificate, key and authority expected,"
                + " or insecure = true for a test on loopback"),
        faults("insecure = true", ""));
    assertEquals(
        List.of(
            "4:1: gateway.insecure: and certificates exclude each other;"
                + " one of the two expected"),
        faults("insecure = true", "insecure = true\nkey = \"k\""));
    assertEquals(
        1,
        faults("insecure", "insecur").stream()
            .filter(f -> f.contains("insecur") && f.contains("did you mean"))
            .count());
  }

  private String problem(String certificate, String key, String authority, String site) {
    GatewayTable.Keys keys =
        new GatewayTable.Keys(
            folder.resolve(certificate), folder.resolve(key), folder.resolve(authority));
    try {
      Identity.read(keys, site);
      return null;
    } catch (Identity.UnusableFileException e) {
      return e.getMessage().replace(folder + "/", "");
    }
  }

  @Test
  void unusableFilesAreReported() throws Exception {
    CertificateAuthority authority = new CertificateAuthority(folder, "ca");
    authority.issue("a", "hat-yai");
    authority.issue("b", "bangkok");
    authority.issueExpired("old", "hat-yai");
    Files.writeString(folder.resolve("none.pem"), "nothing\n");
    assertNull(problem("a.pem", "a.key", "ca.pem", "hat-yai"));
    assertEquals(
        "a.pem: names [hat-yai] and not the site \"udon\"",
        problem("a.pem", "a.key", "ca.pem", "udon"));
    assertEquals(
        "b.key: is not the key of the certificate", problem("a.pem", "b.key", "ca.pem", "hat-yai"));
    assertTrue(
        problem("old.pem", "old.key", "ca.pem", "hat-yai").startsWith("old.pem: is not valid now"));
    assertTrue(problem("none.pem", "a.key", "ca.pem", "hat-yai").startsWith("none.pem: "));
    assertTrue(problem("a.pem", "none.pem", "ca.pem", "hat-yai").startsWith("none.pem: "));
    assertTrue(problem("a.pem", "a.key", "gone.pem", "hat-yai").startsWith("gone.pem: "));
  }
}
