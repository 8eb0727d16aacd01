package heathswitch.proxy.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.jr.ob.JSON;
import heathswitch.policy.adapter.SettingsReader;
import heathswitch.policy.api.RequestClass;
import heathswitch.policy.api.Settings;
import heathswitch.policy.core.Balancer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.tomlj.Toml;
import org.tomlj.TomlArray;
import org.tomlj.TomlParseResult;
import org.tomlj.TomlTable;

/**
 * The example deployments below {@code deploy/sites}: their classes, limits, rules and tenants are
 * translated to the platform's settings, from which {@link SettingsReader} must read the same
 * values.
 */
class SiteSettingsTest {
  private static final Path SITES =
      Path.of(System.getProperty("heathswitch.root", "."), "deploy", "sites");

  private static final long MS = 1_000_000;

  static Stream<Path> sites() throws Exception {
    try (Stream<Path> files = Files.walk(SITES)) {
      return files.filter(file -> file.toString().endsWith(".toml")).sorted().toList().stream();
    }
  }

  private static TomlParseResult parse(Path site) throws Exception {
    TomlParseResult parsed = Toml.parse(site);
    assertFalse(parsed.hasErrors(), () -> site + ": " + parsed.errors());
    return parsed;
  }

  private static List<TomlTable> tables(TomlTable in, String key) {
    TomlArray array = in.getArrayOrEmpty(key);
    List<TomlTable> tables = new ArrayList<>();
    for (int i = 0; i < array.size(); i++) {
      tables.add(array.getTable(i));
    }
    return tables;
  }

  private static String idempotency(String effect) {
    return switch (effect) {
      case "safe" -> "read_like";
      case "keyed" -> "idempotency_key";
      case "unsafe" -> "non_idempotent";
      default -> throw new AssertionError("unknown effect: " + effect);
    };
  }

  private static Map<String, Object> settings(TomlTable site) {
    List<Object> classes = new ArrayList<>();
    for (TomlTable type : tables(site, "class")) {
      Map<String, Object> requestClass = new LinkedHashMap<>();
      requestClass.put("name", type.getString("name"));
      requestClass.put("idempotency", idempotency(type.getString("effect")));
      requestClass.put("group", type.getString("group", () -> "all"));
      requestClass.put("aim_ns", type.getLong("aim_ms") * MS);
      requestClass.put("hard_limit_ns", type.getLong("deadline_ms") * MS);
      requestClass.put("window_ns", type.getLong("window_ms", () -> 5000) * MS);
      requestClass.put("importance", type.get("worth"));
      requestClass.put("late_worth", type.get("late_worth"));
      classes.add(requestClass);
    }
    List<Object> tenants = new ArrayList<>();
    for (TomlTable tenant : tables(site, "tenant")) {
      tenants.add(Map.of("name", tenant.getString("name"), "portion", tenant.get("share")));
    }
    TomlTable allow = site.getTable("allow");
    TomlTable rules = site.getTable("rules");
    Map<String, Object> settings = new LinkedHashMap<>();
    settings.put("classes", classes);
    settings.put("tenants", tenants);
    settings.put("worth_by", site.getString("load.worth_by"));
    settings.put("membership_mode", pushed(site) ? "automatic" : "subscribe");
    settings.put(
        "limits",
        Map.of(
            "most_tries", allow.getLong("max_attempts"),
            "may_duplicate", allow.getBoolean("second_copies"),
            "cancelling", allow.getBoolean("cancel")));
    settings.put(
        "obligations",
        Map.of(
            "stop_sending_within_ns", rules.getLong("drain_grace_ms") * MS,
            "tip_multiple", rules.get("fall_multiple"),
            "fall_ns", rules.getLong("fall_ms") * MS));
    return settings;
  }

  private static boolean pushed(TomlTable site) {
    return "push".equals(site.getString("discovery.mode"));
  }

  @ParameterizedTest
  @MethodSource("sites")
  void settingsReaderReadsTheValuesOfTheSite(Path path) throws Exception {
    TomlParseResult site = parse(path);
    Settings settings = SettingsReader.read(settings(site));
    List<TomlTable> classes = tables(site, "class");
    assertEquals(classes.size(), settings.classes().size());
    for (int i = 0; i < classes.size(); i++) {
      RequestClass read = settings.classes().get(i);
      assertEquals(classes.get(i).getString("name"), read.name());
      assertEquals(
          classes.get(i).getString("effect").toUpperCase(java.util.Locale.ROOT),
          read.effect().name());
      assertEquals(classes.get(i).getLong("deadline_ms") * MS, read.deadlineNanos());
    }
    assertEquals(tables(site, "tenant").size(), settings.tenants().size());
    assertEquals(!pushed(site), settings.subscribes());
    new Balancer(settings, 1, null); // Must accept the settings.
  }

  /** The bench reads its wire names and keys from files beside the site. */
  @ParameterizedTest
  @MethodSource("sites")
  void filesOfTheBenchAreBesideTheSite(Path path) throws Exception {
    Path folder = path.getParent();
    assertTrue(Files.exists(folder.resolve(parse(path).getString("wire"))));
    assertFalse(JSON.std.mapFrom(Files.readString(folder.resolve("wire.json"))).isEmpty());
    assertFalse(JSON.std.mapFrom(Files.readString(folder.resolve("real.json"))).isEmpty());
    assertFalse(Files.readString(folder.resolve("unlock.txt")).isBlank());
  }

  /**
   * One site is fast and has its lists pushed, the other is slow and asks for them; no class name
   * is in both. The program cannot be fitted to either alone.
   */
  @Test
  void sitesDifferInMembershipModeAndClassNames() throws Exception {
    List<Path> sites = sites().toList();
    assertEquals(2, sites.size());
    Set<Boolean> modes = new HashSet<>();
    Set<String> names = new HashSet<>();
    int count = 0;
    for (Path path : sites) {
      TomlParseResult site = parse(path);
      modes.add(pushed(site));
      for (TomlTable type : tables(site, "class")) {
        names.add(type.getString("name"));
        count++;
      }
    }
    assertEquals(Set.of(true, false), modes);
    assertEquals(count, names.size());
  }
}
