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

/** The configuration's values and what is said of wrong ones, with their places. */
class SectionTest {
  enum Colour {
    RED,
    LIGHT_BLUE
  }

  @TempDir Path folder;
  private Path file;

  @BeforeEach
  void name() {
    file = folder.resolve("c.toml");
  }

  private Document read(String text) throws Exception {
    return Document.read(Files.writeString(file, text));
  }

  private void faults(Document document, String... expected) {
    assertEquals(
        List.of(expected),
        document.faults().stream()
            .map(fault -> fault.toString().replace(file.toString(), "c"))
            .toList());
  }

  @Test
  void readsEveryKindOfValue() throws Exception {
    Document document =
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
    Section root = document.root();
    assertEquals("x", root.text("text", null));
    assertEquals(7, root.whole("whole", null, 0, 10));
    assertEquals(1.0, root.number("number", null, 0, 10));
    assertTrue(root.flag("flag", false));
    assertEquals(250_000_000L, root.nanos("time", null, "0ms", "1s"));
    assertEquals(80, root.address("address", true).getPort());
    assertEquals(Colour.LIGHT_BLUE, root.choice("colour", null, Colour.class));
    assertEquals(List.of("a", "b"), root.texts("texts", true));
    assertEquals("y", root.table("table").text("inner", null));
    assertEquals(
        List.of(1L, 2L),
        root.tables("many").stream().map(many -> many.whole("n", null, 0, 9)).toList());
    assertEquals("d", root.text("absent", "d"));
    assertNull(root.optionalText("absent"));
    root.end();
    faults(document);
  }

  @Test
  void saysWhatIsWrongAndWhere() throws Exception {
    Document document =
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
    Section root = document.root();
    root.text("text", null);
    root.whole("whole", null, 0, 10);
    root.number("number", null, 0, 10);
    root.flag("flag", false);
    root.nanos("time", null, "0ms", "1s");
    root.millis("long", null, "0ms", "1h");
    root.address("address", true);
    root.choice("colour", null, Colour.class);
    root.texts("texts", true);
    assertNull(root.table("table"));
    root.text("blank", null);
    root.texts("none", true);
    Section deep = root.table("deep");
    deep.texts("inner", true);
    deep.whole("absent", null, 1, 2);
    faults(
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
  void unknownKeysAreFaultsWithTheNearestKnownOne() throws Exception {
    Document document = read("listne = 1\nzzz = 2\n[t]\nagde = 3\n");
    Section root = document.root();
    root.address("listen", false);
    root.text("name", "x");
    Section table = root.table("t");
    table.millis("aged", "1s", "0s", "9s");
    table.end();
    root.end();
    faults(
        document,
        "c:1:1: listne: is not known (did you mean listen?); known here: listen, name, t",
        "c:2:1: zzz: is not known; known here: listen, name, t",
        "c:4:1: t.agde: is not known (did you mean aged?); known here: aged");
  }

  @Test
  void whatIsNoTomlIsNamedWithItsPlace() throws Exception {
    Document document = read("a = 1\nb = = 2\n");
    assertNull(document.root());
    String first = document.faults().get(0).toString();
    assertTrue(first.startsWith(file + ":2:5: cannot be read as TOML: "), first);
  }

  @Test
  void aFileThatIsNoneIsAFault() throws Exception {
    assertEquals(file + ": is not there", Document.read(file).faults().get(0).toString());
    assertEquals(
        folder + ": is a folder; a file is expected",
        Document.read(folder).faults().get(0).toString());
    assertEquals(
        "/dev/zero: is a device or a pipe; a file is expected",
        Document.read(Path.of("/dev/zero")).faults().get(0).toString());
    Files.write(file, new byte[(1 << 20) + 1]);
    assertEquals(
        file + ": has over 1048576 bytes; no more are read",
        Document.read(file).faults().get(0).toString());
    Files.write(file, new byte[] {(byte) 0xff});
    assertEquals(file + ": is no text in UTF-8", Document.read(file).faults().get(0).toString());
  }
}
