package heathswitch.proxy.logging;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ch.qos.logback.classic.LoggerContext;
import com.fasterxml.jackson.jr.ob.JSON;
import heathswitch.proxy.runtime.Log;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.slf4j.LoggerFactory;

/** Tests the log that is installed for a whole process. */
class StructuredLogTest {
  /**
   * Guards against uncaught exceptions that are printed as unstructured lines: with a full disk, a
   * thread of a library ended that way.
   */
  @Test
  void uncaughtExceptionIsLoggedAsOneJsonObject() throws Exception {
    Thread.UncaughtExceptionHandler originalHandler = Thread.getDefaultUncaughtExceptionHandler();
    PrintStream originalErr = System.err;
    ByteArrayOutputStream written = new ByteArrayOutputStream();
    System.setErr(new PrintStream(written, true, UTF_8));
    try {
      StructuredLog.install(
          new LogConfig(LogConfig.Format.JSON, LogConfig.DEFAULT.minLevel()), "edge-1");
      Thread thread =
          new Thread(
              () -> {
                throw new IllegalStateException("no room");
              },
              "writer");
      thread.start();
      thread.join();
    } finally {
      System.setErr(originalErr);
      Thread.setDefaultUncaughtExceptionHandler(originalHandler);
      Log.setSink(null);
      ((LoggerContext) LoggerFactory.getILoggerFactory()).reset();
    }
    List<Map<String, Object>> threadLines = new ArrayList<>();
    for (String each : written.toString(UTF_8).lines().toList()) {
      // Fails unless each line is one JSON object.
      Map<String, Object> line = JSON.std.mapFrom(each);
      if ("thread".equals(line.get("kind"))) { // Other tests in this JVM may log too.
        threadLines.add(line);
      }
    }
    assertEquals(1, threadLines.size(), threadLines::toString);
    Map<String, Object> line = threadLines.get(0);
    assertEquals("writer ended with an uncaught exception", line.get("message"));
    assertTrue(line.get("error").toString().contains("no room"), line::toString);
  }
}
