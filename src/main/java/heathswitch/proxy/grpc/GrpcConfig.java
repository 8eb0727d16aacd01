package heathswitch.proxy.grpc;

import heathswitch.policy.api.RequestClass;
import heathswitch.policy.grpc.Gathering;
import heathswitch.proxy.config.Section;
import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * The table {@code [grpc]} of the configuration.
 *
 * @param maxMessageBytes bytes of a message, either way, without its prefix
 * @param maxBufferedBytes bytes of a call that are kept for another attempt, and of an answer that
 *     are held back before it goes on as it comes
 * @param bufferingNanos for which a call or an answer that has not ended is held back
 * @param maxTotalBufferedBytes bytes of all messages that are held at a time
 * @param maxStreamsPerConnection calls of one client connection at a time
 * @param maxConnections client connections at a time
 * @param maxConnectionAgeMillis after which a client connection is ended in good order, give or
 *     take a tenth
 * @param connectionIdleMillis after which a connection without a call is closed
 */
public record GrpcConfig(
    InetSocketAddress listen,
    int maxMessageBytes,
    int maxBufferedBytes,
    long bufferingNanos,
    long maxTotalBufferedBytes,
    int maxStreamsPerConnection,
    int maxConnections,
    long maxConnectionAgeMillis,
    long connectionIdleMillis,
    Map<String, MethodConfig> methods) {

  /**
   * How calls of a method are taken.
   *
   * @param path {@code /service/method}, {@code /service/*} or {@code *} for the default
   * @param mode how it is told whether it is one message or a stream
   */
  public record MethodConfig(String path, RequestClass type, String tenant, Gathering mode) {}

  /** Reads and checks the table; null where there is none, and the listener is off. */
  public static GrpcConfig read(Section root, List<RequestClass> classes) {
    Section table = root.table("grpc");
    if (table == null) {
      return null;
    }
    Map<String, RequestClass> types =
        classes.stream()
            .collect(Collectors.toMap(RequestClass::name, Function.identity(), (a, b) -> a));
    Map<String, MethodConfig> methods = new LinkedHashMap<>();
    for (Section section : table.tables("method")) {
      String path = section.text("path", null);
      String name = section.text("class", null);
      RequestClass type = name == null ? null : types.get(name);
      if (name != null && type == null) {
        section.fault(
            "class",
            "is \""
                + name
                + "\"; a [[class]] of this file expected: "
                + String.join(", ", types.keySet()));
      }
      boolean fits = path != null && (path.equals("*") || path.matches("/[\\w.]+/(\\*|\\w+)"));
      if (path != null && !fits) {
        section.fault(
            "path", "is \"" + path + "\"; \"/service/method\", \"/service/*\" or \"*\" expected");
      }
      String tenant = section.optionalText("tenant");
      Gathering mode = section.choice("mode", Gathering.AUTO, Gathering.class);
      if (fits && methods.containsKey(path)) {
        section.fault("path", "\"" + path + "\" stands twice; another one expected");
      }
      methods.put(path == null ? "?" : path, new MethodConfig(path, type, tenant, mode));
      section.end();
    }
    if (!methods.containsKey("*")) {
      table.fault("method", "has no default; a [[grpc.method]] with path = \"*\" expected");
    }
    InetSocketAddress listen = table.address("listen", true);
    GrpcConfig grpc =
        new GrpcConfig(
            listen,
            (int) table.whole("most_message", 4L << 20, 1024, 64 << 20),
            (int) table.whole("gather", 256L << 10, 1024, 4 << 20),
            table.millis("gather_time", "20ms", "1ms", "10s") * 1_000_000L,
            table.whole("most_held", 64L << 20, 1 << 20, 1L << 32),
            (int) table.whole("most_streams", 100L, 1, 10_000),
            (int) table.whole("most_connections", 256L, 1, 100_000),
            table.millis("connection_age", "10min", "1s", "24h"),
            table.millis("connection_idle", "5min", "1s", "24h"),
            Map.copyOf(methods));
    table.end();
    return listen == null ? null : grpc;
  }

  /** The method's own entry, else that of its service, else the default. */
  MethodConfig method(CharSequence path) {
    MethodConfig own = methods.size() == 1 ? null : methods.get(path.toString());
    if (own == null && methods.size() > 1) {
      String text = path.toString();
      own = methods.get(text.substring(0, text.lastIndexOf('/') + 1) + '*');
    }
    return own == null ? methods.get("*") : own;
  }
}
