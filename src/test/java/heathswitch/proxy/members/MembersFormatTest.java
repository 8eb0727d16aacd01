package heathswitch.proxy.members;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import heathswitch.policy.members.ListEntry;
import heathswitch.policy.members.ListedServer;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Parsing and formatting of lists of servers, and the detection of truncated files. */
class MembersFormatTest {
  private static final String LIST_TEXT =
      """
      # id      address         zone  kind   cell weight phase
      store-1   127.0.0.1:9101  bkk   store  1    1      in_service
      store-2   127.0.0.1:9102  bkk   store  2    2.5    terminating  # until Friday
      \tstore-3 [::1]:9103      hdy   store  3    1      in_service\r
      store-4   127.0.0.1:9104  hdy   store  3    1      in_service
      store-5   127.0.0.1:9105  hdy   store  3    1      in_service
      store-6   127.0.0.1:9106  hdy   store  3    1      in_service
      store-7   127.0.0.1:9107  hdy   store  3    1      in_service
      store-8   127.0.0.1:9108  hdy   store  3    1      in_service
      store-9   127.0.0.1:9109  hdy   store  3    1      in_service
      store-10  127.0.0.1:9110  hdy   store  3    1      in_service

      end 10
      """;

  private static MembersFormat.Parsed parse(String text) {
    return MembersFormat.parse("m.txt", text.getBytes(UTF_8));
  }

  private static List<ListedServer> servers(MembersFormat.Parsed parsed) {
    return parsed.entries().stream().map(ListEntry::server).toList();
  }

  @Test
  void parsesCommentsBlankLinesAndAnyWhitespace() {
    MembersFormat.Parsed parsed = parse(LIST_TEXT);
    assertEquals(List.of(), parsed.faults());
    assertEquals(10, parsed.entries().size());
    assertEquals(
        new ListedServer("store-2", "127.0.0.1:9102", "bkk", "store", 2, 2.5, false),
        parsed.entries().get(1).server());
    assertEquals("m.txt:3", parsed.entries().get(1).location());
    assertEquals("[::1]:9103", parsed.entries().get(2).server().address());
  }

  /** A truncated file has a fault, unless only the end of its last line is missing. */
  @Test
  void truncationAtAnyByteIsDetected() {
    byte[] unsealed = LIST_TEXT.getBytes(UTF_8);
    byte[] sealed = MembersFormat.format(servers(parse(LIST_TEXT))).getBytes(UTF_8);
    for (byte[] bytes : List.of(unsealed, sealed)) {
      for (int length = 0; length < bytes.length - 1; length++) {
        MembersFormat.Parsed parsed = MembersFormat.parse("m", Arrays.copyOf(bytes, length));
        boolean sameServers =
            parsed.faults().isEmpty() && servers(parsed).equals(servers(parse(LIST_TEXT)));
        // A sealed file may lose its digest and nothing else: the number of servers still matches.
        boolean onlyDigest = bytes == sealed && sameServers;
        assertTrue(onlyDigest || !parsed.faults().isEmpty(), "truncated after " + length);
      }
    }
    assertEquals(List.of(), parse(LIST_TEXT.strip()).faults());
  }

  /**
   * A file that is overwritten in place can be read as the start of the new content followed by the
   * rest of the old one.
   */
  @Test
  void digestDetectsMixtureOfOldAndNewContent() {
    String one = MembersFormat.format(servers(parse(LIST_TEXT)));
    String other = MembersFormat.format(servers(parse(LIST_TEXT.replace(" 2.5 ", " 3.5 "))));
    assertEquals(one.length(), other.length());
    int firstDifference = 0;
    while (one.charAt(firstDifference) == other.charAt(firstDifference)) {
      firstDifference++;
    }
    for (int at = firstDifference + 1; at < one.length() - 2; at++) {
      String mixed = one.substring(0, at) + other.substring(at);
      assertFalse(mixed.equals(other) || mixed.equals(one) || parse(mixed).faults().isEmpty());
    }
  }

  @Test
  void formattedListParsesToSameServers() {
    List<ListedServer> servers = servers(parse(LIST_TEXT));
    MembersFormat.Parsed reparsed = parse(MembersFormat.format(servers));
    assertEquals(List.of(), reparsed.faults());
    assertEquals(servers, servers(reparsed));
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "s 127.0.0.1:1 a k 0 1|m.txt:1:1: 6 columns; id address zone kind cell weight phase expected",
        "s 127.0.0.1:1 a k 0 1 in_service grpc=9 x|m.txt:1:1: 9 columns; id address zone kind cell weight phase expected",
        "s/1 127.0.0.1:1 a k 0 1 in_service|m.txt:1:1: id: is \"s/1\"; at most 64 letters, digits, dots, hyphens or underscores expected",
        "s localhost:1 a k 0 1 in_service|m.txt:1:3: address: is \"localhost:1\"; a numeric address and port, such as 127.0.0.1:9101, expected",
        "s 127.0.0.1:0 a k 0 1 in_service|m.txt:1:3: address: is \"127.0.0.1:0\"; a numeric address and port, such as 127.0.0.1:9101, expected",
        "s 127.0.0.1:65536 a k 0 1 in_service|m.txt:1:3: address: is \"127.0.0.1:65536\"; a numeric address and port, such as 127.0.0.1:9101, expected",
        "s 127.0.0.1:1 a k -1 1 in_service|m.txt:1:19: cell: is \"-1\"; a whole number expected",
        "s 127.0.0.1:1 a k 0 heavy in_service|m.txt:1:21: weight: is \"heavy\"; a number expected",
        "s 127.0.0.1:1 a k 0 1 up|m.txt:1:23: phase: is \"up\"; in_service or terminating expected",
      })
  void faultStatesLocationAndExpectedValue(String line, String expected) {
    assertEquals(expected, parse(line + "\nend 1\n").faults().get(0).toString());
  }

  @Test
  void wrongOrMisplacedEndLineIsAFault() {
    String one = "s 127.0.0.1:1 a k 0 1 in_service\n";
    assertEquals(List.of(), parse(one + "end 1 # all\n\n# so\n").faults());
    assertFalse(parse(one + "end 1\n" + one).faults().isEmpty());
    assertFalse(parse(one + "end 1\nend 1\n").faults().isEmpty());
    assertFalse(parse(one + "end\n").faults().isEmpty());
    assertFalse(parse(one + "end -1\n").faults().isEmpty());
    assertFalse(parse(one + "end 1 sha256:00\n").faults().isEmpty());
    assertFalse(parse(one + "end 99999999999\n").faults().isEmpty());
    assertEquals(
        "m.txt:2:5: end: states 2 servers but 1 are listed above; was the file truncated,"
            + " or a line added without updating the number?",
        parse(one + "end 2\n").faults().get(0).toString());
  }

  @Test
  void invalidContentYieldsBoundedNumberOfFaults() {
    SplittableRandom random = new SplittableRandom(5);
    for (int i = 0; i < 300; i++) {
      byte[] bytes = new byte[random.nextInt(4000)];
      random.nextBytes(bytes);
      List<?> faults = MembersFormat.parse("g", bytes).faults();
      assertTrue(faults.size() >= 1 && faults.size() <= 20);
    }
    assertEquals(20, parse("x\n".repeat(100_000)).faults().size());
    assertEquals(
        "m.txt:1:1: is longer than 512 characters",
        parse("x".repeat(600)).faults().get(0).toString());
    byte[] latin = "s\u00e9 127.0.0.1:1 a k 0 1 in_service\nend 1\n".getBytes(ISO_8859_1);
    assertEquals(
        "g: is no text in UTF-8", MembersFormat.parse("g", latin).faults().get(0).toString());
  }

  @Test
  void sealCorrectsTheEndLine() {
    String wrong = LIST_TEXT.replace("end 10", "end 3");
    assertFalse(parse(wrong).faults().isEmpty());
    String sealed = MembersCheck.seal(wrong);
    assertEquals(List.of(), parse(sealed).faults());
    assertEquals(servers(parse(LIST_TEXT)), servers(parse(sealed)));
    assertEquals(sealed, MembersCheck.seal(sealed));
    assertFalse(parse(sealed.replace("store-1 ", "store-x ")).faults().isEmpty());
  }
}
