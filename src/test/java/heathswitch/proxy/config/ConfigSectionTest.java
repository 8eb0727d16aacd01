package heathswitch.proxy.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests the reading of values, and the validation errors with their source positions. */
class ConfigSectionTest {
  enum Colour {
    RED,
    LIGHT_BLUE
  }

  @TempDir Path folder;
  private Path file;

  @BeforeEach
  void setFile() {
    file = folder.resolve("c.toml");
  }

  private ConfigDocument read(String text) throws Exception {
    return ConfigDocument.read(Files.writeString(file, text));
  }

  private void assertErrors(ConfigDocument document, String... expected) {
    assertEquals(
        List.of(expected),
        document.errors().stream()
            .map(error -> error.toString().replace(file.toString(), "c"))
            .toList());
  }

  @Test
  void readsEveryTypeOfValue() throws Exception {
    ConfigDocument document =
        read(
            """
            text = "x"
            whole = 7
            number = 1
            flag = true
            time = "250ms"
            address = "127.0.0.1:80"
            colour = "light_blue"
            texts = ["a", "b"]
            [table]
            inner = "y"
            [[many]]
            n = 1
            [[many]]
            n = 2
            """);
    ConfigSection root = document.root();
    assertEquals("x", root.string("text", null));
    assertEquals(7, root.integer("whole", null, 0, 10));
    assertEquals(1.0, root.number("number", null, 0, 10));
    assertTrue(root.flag("flag", false));
    assertEquals(250_000_000L, root.durationNanos("time", null, "0ms", "1s"));
    assertEquals(80, root.address("address", true).getPort());
    assertEquals(Colour.LIGHT_BLUE, root.enumValue("colour", null, Colour.class));
    assertEquals(List.of("a", "b"), root.strings("texts", true));
    assertEquals("y", root.table("table").string("inner", null));
    assertEquals(
        List.of(1L, 2L),
        root.tables("many").stream().map(many -> many.integer("n", null, 0, 9)).toList());
    assertEquals("d", root.string("absent", "d"));
    assertNull(root.optionalString("absent"));
    root.rejectUnknownKeys();
    assertErrors(document);
  }

  @Test
  void reportsInvalidValuesWithSourcePositions() throws Exception {
    ConfigDocument document =
        read(
            """
            text = 1
            whole = 11
            number = nan
            flag = "yes"
            time = "5 s"
            long = "2h"
            address = "localhost:80"
            colour = "rde"
            texts = ["a", 2]
            table = 3
            blank = " "
            [deep]
            inner = []
            """);
    ConfigSection root = document.root();
    root.string("text", null);
    root.integer("whole", null, 0, 10);
    root.number("number", null, 0, 10);
    root.flag("flag", false);
    root.durationNanos("time", null, "0ms", "1s");
    root.durationMillis("long", null, "0ms", "1h");
    root.address("address", true);
    root.enumValue("colour", null, Colour.class);
    root.strings("texts", true);
    assertNull(root.table("table"));
    root.string("blank", null);
    root.strings("none", true);
    ConfigSection deep = root.table("deep");
    deep.strings("inner", true);
    deep.integer("absent", null, 1, 2);
    assertErrors(
        document,
        "c:1:1: text: is 1; a text expected",
        "c:1:1: none: missing; a list of texts expected",
        "c:2:1: whole: is 11; a whole number from 0 to 10 expected",
        "c:3:1: number: is NaN; a number from 0.0 to 10.0 expected",
        "c:4:1: flag: is \"yes\"; true or false expected",
        "c:5:1: time: is \"5 s\"; a time from \"0ms\" to \"1s\" expected",
        "c:6:1: long: is \"2h\"; a time from \"0ms\" to \"1h\" expected",
        "c:7:1: address: is \"localhost:80\"; ADDRESS:PORT, such as \"127.0.0.1:8080\", expected",
        "c:8:1: colour: is \"rde\" (did you mean red?); one of \"red\", \"light_blue\" expected",
        "c:9:15: texts[1]: is 2; a text expected",
        "c:10:1: table: is 3; a table expected",
        "c:11:1: blank: is empty; a text expected",
        "c:12:1: deep.absent: missing; a whole number from 1 to 2 expected",
        "c:13:1: deep.inner: is empty; at least one text expected");
  }

  @Test
  void reportsUnknownKeysWithClosestKnownKey() throws Exception {
    ConfigDocument document = read("listne = 1\nzzz = 2\n[t]\nagde = 3\n");
    ConfigSection root = document.root();
    root.address("listen", false);
    root.string("name", "x");
    ConfigSection table = root.table("t");
    table.durationMillis("aged", "1s", "0s", "9s");
    table.rejectUnknownKeys();
    root.rejectUnknownKeys();
    assertErrors(
        document,
        "c:1:1: listne: is not known (did you mean listen?); known here: listen, name, t",
        "c:2:1: zzz: is not known; known here: listen, name, t",
        "c:4:1: t.agde: is not known (did you mean aged?); known here: aged");
  }

  @Test
  void reportsTomlSyntaxErrorWithSourcePosition() throws Exception {
    ConfigDocument document = read("a = 1\nb = = 2\n");
    assertNull(document.root());
    String first = document.errors().get(0).toString();
    assertTrue(first.startsWith(file + ":2:5: cannot be read as TOML: "), first);
  }

  @Test
  void reportsUnusableFile() throws Exception {
    assertEquals(file + ": is not there", ConfigDocument.read(file).errors().get(0).toString());
    assertEquals(
        folder + ": is a folder; a file is expected",
        ConfigDocument.read(folder).errors().get(0).toString());
    assertEquals(
        "/dev/zero: is a device or a pipe; a file is expected",
        ConfigDocument.read(Path.of("/dev/zero")).errors().get(0).toString());
    Files.write(file, new byte[(1 << 20) + 1]);
    assertEquals(
        file + ": has over 1048576 bytes; no more are read",
        ConfigDocument.read(file).errors().get(0).toString());
    Files.write(file, new byte[] {(byte) 0xff});
    assertEquals(
        file + ": is no text in UTF-8", ConfigDocument.read(file).errors().get(0).toString());
  }
}
