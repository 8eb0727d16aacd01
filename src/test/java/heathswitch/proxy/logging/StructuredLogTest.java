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

/** What the log of a process holds when all goes through it. */
class StructuredLogTest {
  /** One whose disk was full said so in a thread of a library, over many lines that are none. */
  @Test
  void aThreadThatEndsByAnErrorIsOneObject() throws Exception {
    Thread.UncaughtExceptionHandler before = Thread.getDefaultUncaughtExceptionHandler();
    PrintStream stderr = System.err;
    ByteArrayOutputStream written = new ByteArrayOutputStream();
    System.setErr(new PrintStream(written, true, UTF_8));
    try {
      StructuredLog.install(new LogTable(LogTable.Form.JSON, LogTable.DEFAULT.least()), "edge-1");
      Thread thread =
          new Thread(
              () -> {
                throw new IllegalStateException("no room");
              },
              "writer");
      thread.start();
      thread.join();
    } finally {
      System.setErr(stderr);
      Thread.setDefaultUncaughtExceptionHandler(before);
      Log.setSink(null);
      ((LoggerContext) LoggerFactory.getILoggerFactory()).reset();
    }
    List<Map<String, Object>> own = new ArrayList<>();
    for (String each : written.toString(UTF_8).lines().toList()) {
      Map<String, Object> line = JSON.std.mapFrom(each); // Each has to be one object.
      if ("thread".equals(line.get("kind"))) { // Others in this process may write as well.
        own.add(line);
      }
    }
    assertEquals(1, own.size(), own::toString);
    Map<String, Object> line = own.get(0);
    assertEquals("writer has ended by an error", line.get("message"));
    assertTrue(line.get("error").toString().contains("no room"), line::toString);
  }
}
