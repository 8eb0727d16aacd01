package heathswitch.proxy.logging;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.LoggingEvent;
import com.fasterxml.jackson.jr.ob.JSON;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.slf4j.event.KeyValuePair;

/** Tests both formats of log lines. */
class LogLineEncoderTest {
  private static String encode(LogConfig.Format format, Throwable throwable, String message) {
    LoggerContext context = new LoggerContext();
    LoggingEvent event =
        new LoggingEvent(
            "", context.getLogger("heathswitch"), Level.WARN, message, throwable, null);
    event.setKeyValuePairs(
        List.of(
            new KeyValuePair("kind", "work order"),
            new KeyValuePair("server", "store-1"),
            new KeyValuePair("reason", "a \"floor\"")));
    return new String(new LogLineEncoder(format, "edge-1").encode(event), UTF_8);
  }

  @Test
  void jsonLineIsOneObjectWithAllFields() throws Exception {
    String line = encode(LogConfig.Format.JSON, new IllegalStateException("why\nso"), "two\nlines");
    assertEquals(1, line.lines().count(), line);
    Map<String, Object> read = JSON.std.mapFrom(line);
    assertEquals("edge-1", read.get("instance"));
    assertEquals("work order", read.get("kind"));
    assertEquals("store-1", read.get("server"));
    assertEquals("a \"floor\"", read.get("reason"));
    assertEquals("two\nlines", read.get("message"));
    assertEquals("WARN", read.get("level"));
    assertTrue(read.get("error").toString().contains("IllegalStateException: why"));
  }

  @Test
  void textLineHasNoLineBreakAndNoReasonField() {
    String line = encode(LogConfig.Format.TEXT, null, "two\nlines");
    assertTrue(line.endsWith(" WARN work order: two lines server=store-1\n"), line);
    assertFalse(line.contains("floor"), "the message already contains the reason");
  }
}
