package heathswitch.policy.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import heathswitch.policy.gateway.Gateway.TrailVerdict;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** The header with which gateways detect loops. */
class TrailTest {
  private final Gateway gateway = new Gateway("bangkok", GatewayTest.CLASSES, 1);

  @Test
  void parsesWhatAnotherGatewayWrites() {
    assertEquals(List.of("hat-yai"), Trail.parse(Trail.headerFrom("hat-yai")).sites());
  }

  /** A later version only appends fields. */
  @Test
  void parsesALaterVersion() {
    assertEquals(List.of("a", "b"), Trail.parse("2;a,b;hops=2;x").sites());
    assertEquals(TrailVerdict.GOOD, gateway.checkTrail("hat-yai", "17;hat-yai;anything"));
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        ";",
        "1",
        "1;",
        "hat-yai",
        "0;hat-yai",
        "01;hat-yai",
        "100;hat-yai",
        "-1;hat-yai",
        "1;hat-yai,",
        "1;,hat-yai",
        "1;Hat-Yai",
        "1;hat yai",
        "1;hat_yai",
        "1; hat-yai",
        "x;a",
        "1;a,b,c,d,e,f,g,h,i",
        "1;abcdefghijklmnopqrstuvwxyz0123456",
        "1;hat-yai;\u00e9"
      })
  void rejectsAMalformedTrail(String text) {
    assertNull(Trail.parse(text));
    assertEquals(TrailVerdict.GARBLED, gateway.checkTrail("hat-yai", text));
  }

  @Test
  void rejectsATrailThatIsTooLong() {
    String appended =
        IntStream.range(0, Trail.MAX_LENGTH).mapToObj(i -> "x").collect(Collectors.joining());
    assertNull(Trail.parse("2;hat-yai;" + appended));
    assertNull(Trail.parse(null));
  }

  @ParameterizedTest
  @CsvSource({
    "hat-yai, 1;hat-yai, GOOD",
    "hat-yai, 1;udon, FORGED",
    "hat-yai, '1;hat-yai,udon', FORGED",
    "hat-yai, '1;udon,hat-yai', BOUNCED",
    "hat-yai, '1;bangkok,hat-yai', BOUNCED",
    "bangkok, 1;bangkok, BOUNCED"
  })
  void trailIsCheckedAgainstTheSendingPeer(String peer, String text, TrailVerdict expected) {
    assertEquals(expected, gateway.checkTrail(peer, text));
  }
}
