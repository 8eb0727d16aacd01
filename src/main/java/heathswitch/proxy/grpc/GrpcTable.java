package heathswitch.proxy.grpc;

import heathswitch.policy.api.RequestClass;
import heathswitch.policy.grpc.BufferingMode;
import heathswitch.proxy.config.ConfigSection;
import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * The table {@code [grpc]} of the configuration.
 *
 * @param mostMessage bytes of a message, either way, without its prefix
 * @param gathered bytes of a call that are kept for another attempt, and of an answer that are held
 *     back before it goes on as it comes
 * @param gatherNanos for which a call or an answer that has not ended is held back
 * @param mostHeld bytes of all messages that are held at a time
 * @param mostStreams calls of one client connection at a time
 * @param mostConnections client connections at a time
 * @param ageMillis after which a client connection is ended in good order, give or take a tenth
 * @param idleMillis after which a connection without a call is closed
 */
public record GrpcTable(
    InetSocketAddress listen,
    int mostMessage,
    int gathered,
    long gatherNanos,
    long mostHeld,
    int mostStreams,
    int mostConnections,
    long ageMillis,
    long idleMillis,
    Map<String, Method> methods) {

  /**
   * How calls of a method are taken.
   *
   * @param path {@code /service/method}, {@code /service/*} or {@code *} for the default
   * @param mode how it is told whether it is one message or a stream
   */
  public record Method(String path, RequestClass type, String tenant, BufferingMode mode) {}

  /** Reads and checks the table; null where there is none, and the listener is off. */
  public static GrpcTable read(ConfigSection root, List<RequestClass> classes) {
    ConfigSection table = root.table("grpc");
    if (table == null) {
      return null;
    }
    Map<String, RequestClass> types =
        classes.stream()
            .collect(Collectors.toMap(RequestClass::name, Function.identity(), (a, b) -> a));
    Map<String, Method> methods = new LinkedHashMap<>();
    for (ConfigSection section : table.tables("method")) {
      String path = section.string("path", null);
      String name = section.string("class", null);
      RequestClass type = name == null ? null : types.get(name);
      if (name != null && type == null) {
        section.addError(
            "class",
            "is \""
                + name
                + "\"; a [[class]] of this file expected: "
                + String.join(", ", types.keySet()));
      }
      boolean fits = path != null && (path.equals("*") || path.matches("/[\\w.]+/(\\*|\\w+)"));
      if (path != null && !fits) {
        section.addError(
            "path", "is \"" + path + "\"; \"/service/method\", \"/service/*\" or \"*\" expected");
      }
      String tenant = section.optionalString("tenant");
      BufferingMode mode = section.enumValue("mode", BufferingMode.AUTO, BufferingMode.class);
      if (fits && methods.containsKey(path)) {
        section.addError("path", "\"" + path + "\" stands twice; another one expected");
      }
      methods.put(path == null ? "?" : path, new Method(path, type, tenant, mode));
      section.rejectUnknownKeys();
    }
    if (!methods.containsKey("*")) {
      table.addError("method", "has no default; a [[grpc.method]] with path = \"*\" expected");
    }
    InetSocketAddress listen = table.address("listen", true);
    GrpcTable grpc =
        new GrpcTable(
            listen,
            (int) table.integer("most_message", 4L << 20, 1024, 64 << 20),
            (int) table.integer("gather", 256L << 10, 1024, 4 << 20),
            table.durationMillis("gather_time", "20ms", "1ms", "10s") * 1_000_000L,
            table.integer("most_held", 64L << 20, 1 << 20, 1L << 32),
            (int) table.integer("most_streams", 100L, 1, 10_000),
            (int) table.integer("most_connections", 256L, 1, 100_000),
            table.durationMillis("connection_age", "10min", "1s", "24h"),
            table.durationMillis("connection_idle", "5min", "1s", "24h"),
            Map.copyOf(methods));
    table.rejectUnknownKeys();
    return listen == null ? null : grpc;
  }

  /** The method's own entry, else that of its service, else the default. */
  Method method(CharSequence path) {
    Method own = methods.size() == 1 ? null : methods.get(path.toString());
    if (own == null && methods.size() > 1) {
      String text = path.toString();
      own = methods.get(text.substring(0, text.lastIndexOf('/') + 1) + '*');
    }
    return own == null ? methods.get("*") : own;
  }
}
