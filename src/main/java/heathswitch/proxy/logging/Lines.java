package heathswitch.proxy.logging;

import static java.nio.charset.StandardCharsets.UTF_8;

import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.spi.IThrowableProxy;
import ch.qos.logback.core.encoder.EncoderBase;
import com.fasterxml.jackson.jr.ob.JSON;
import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.slf4j.event.KeyValuePair;

/** Writes a line as text or as one JSON object; no line holds a line break. */
final class Lines extends EncoderBase<ILoggingEvent> {
  static final String KIND = "kind";
  private static final int MOST_FRAMES = 6;
  private static final int MOST_CAUSES = 8;

  private final LogTable.Form form;
  private final String instance;

  Lines(LogTable.Form form, String instance) {
    this.form = form;
    this.instance = instance;
  }

  @Override
  public byte[] headerBytes() {
    return null;
  }

  @Override
  public byte[] footerBytes() {
    return null;
  }

  @Override
  public byte[] encode(ILoggingEvent event) {
    String line = form == LogTable.Form.JSON ? json(event) : text(event);
    return (line.replace('\n', ' ').replace('\r', ' ') + '\n').getBytes(UTF_8);
  }

  private static List<KeyValuePair> fields(ILoggingEvent event) {
    return event.getKeyValuePairs() == null ? List.of() : event.getKeyValuePairs();
  }

  /** What the line is about: the balancer's own kind, or the library that says it. */
  private static String kind(ILoggingEvent event) {
    for (KeyValuePair pair : fields(event)) {
      if (StructuredLog.isKind(pair)) {
        return String.valueOf(pair.value);
      }
    }
    return event.getLoggerName();
  }

  private String json(ILoggingEvent event) {
    Map<String, Object> line = new LinkedHashMap<>();
    line.put("time", event.getInstant().toString());
    line.put("level", event.getLevel().toString());
    line.put("instance", instance);
    line.put(KIND, kind(event));
    line.put("message", event.getFormattedMessage());
    for (KeyValuePair pair : fields(event)) {
      line.putIfAbsent(pair.key, String.valueOf(pair.value));
    }
    if (event.getThrowableProxy() != null) {
      line.put("error", error(event.getThrowableProxy()));
    }
    try {
      return JSON.std.asString(line);
    } catch (IOException e) {
      return "{\"level\":\"ERROR\",\"message\":\"a line could not be written\"}";
    }
  }

  private static String text(ILoggingEvent event) {
    StringBuilder line = new StringBuilder();
    line.append(event.getInstant()).append(' ').append(event.getLevel()).append(' ');
    line.append(kind(event)).append(": ").append(event.getFormattedMessage());
    for (KeyValuePair pair : fields(event)) {
      // The message says the reason already; what is left are the words that one searches for.
      if (!StructuredLog.isKind(pair) && !pair.key.equals("reason")) {
        line.append(' ').append(pair.key).append('=').append(pair.value);
      }
    }
    if (event.getThrowableProxy() != null) {
      line.append(" | ").append(error(event.getThrowableProxy()));
    }
    return line.toString();
  }

  private static String error(IThrowableProxy thrown) {
    StringBuilder text = new StringBuilder();
    IThrowableProxy each = thrown;
    for (int i = 0; each != null && i < MOST_CAUSES; i++) {
      text.append(i == 0 ? "" : " | ").append(each.getClassName());
      text.append(": ").append(each.getMessage());
      int frames = each.getStackTraceElementProxyArray().length;
      for (int k = 0; k < Math.min(MOST_FRAMES, frames); k++) {
        text.append(' ').append(each.getStackTraceElementProxyArray()[k]);
      }
      each = each.getCause();
    }
    return text.toString();
  }
}
