package heathswitch.testbed.measure;

import com.fasterxml.jackson.jr.ob.JSON;
import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;

/** Measured figures by name, in the order in which they were added. */
public final class Figures {
  private final Map<String, Object> figures = new LinkedHashMap<>();

  public Figures add(String name, Object value) {
    figures.put(name, value);
    return this;
  }

  /** A figure rounded to two decimals. */
  public Figures rounded(String name, double value) {
    return add(name, Math.round(value * 100) / 100.0);
  }

  /** One line. */
  public String json() throws IOException {
    return JSON.std.asString(figures);
  }

  public static void progress(String text) {
    System.err.println(text);
  }
}
