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

/** Encodes a log event as a single line, as text or as one JSON object. */
final class LogLineEncoder extends EncoderBase<ILoggingEvent> {
  static final String KIND_FIELD = "kind";
  private static final int MAX_STACK_FRAMES = 6;
  private static final int MAX_CAUSES = 8;

  private final LogConfig.Format format;
  private final String instance;

  LogLineEncoder(LogConfig.Format format, String instance) {
    this.format = format;
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
    String line = format == LogConfig.Format.JSON ? json(event) : text(event);
    return (line.replace('\n', ' ').replace('\r', ' ') + '\n').getBytes(UTF_8);
  }

  private static List<KeyValuePair> fields(ILoggingEvent event) {
    return event.getKeyValuePairs() == null ? List.of() : event.getKeyValuePairs();
  }

  /** Returns the kind of one of the balancer's own lines, else the name of the library's logger. */
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
    line.put(KIND_FIELD, kind(event));
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
      return "{\"level\":\"ERROR\",\"message\":\"log line could not be serialized to JSON\"}";
    }
  }

  private static String text(ILoggingEvent event) {
    StringBuilder line = new StringBuilder();
    line.append(event.getInstant()).append(' ').append(event.getLevel()).append(' ');
    line.append(kind(event)).append(": ").append(event.getFormattedMessage());
    for (KeyValuePair pair : fields(event)) {
      // The message already contains the reason; the other fields serve as search terms.
      if (!StructuredLog.isKind(pair) && !pair.key.equals("reason")) {
        line.append(' ').append(pair.key).append('=').append(pair.value);
      }
    }
    if (event.getThrowableProxy() != null) {
      line.append(" | ").append(error(event.getThrowableProxy()));
    }
    return line.toString();
  }

  private static String error(IThrowableProxy throwable) {
    StringBuilder text = new StringBuilder();
    IThrowableProxy current = throwable;
    for (int i = 0; current != null && i < MAX_CAUSES; i++) {
      text.append(i == 0 ? "" : " | ").append(current.getClassName());
      text.append(": ").append(current.getMessage());
      int frames = current.getStackTraceElementProxyArray().length;
      for (int k = 0; k < Math.min(MAX_STACK_FRAMES, frames); k++) {
        text.append(' ').append(current.getStackTraceElementProxyArray()[k]);
      }
      current = current.getCause();
    }
    return text.toString();
  }
}
