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
 * @param listen the address of the listener
 * @param maxMessageBytes limit of a message in either direction, without its prefix
 * @param maxBufferedBytes bytes of a call that are kept to be sent again, and of an answer that are
 *     held back before it is streamed
 * @param bufferingNanos how long an incomplete call or answer is held back
 * @param maxTotalBufferedBytes limit of the message bytes that all calls buffer together
 * @param maxStreamsPerConnection limit of the concurrent calls of a client connection
 * @param maxConnections limit of the concurrent client connections
 * @param maxConnectionAgeMillis age at which a client connection is closed gracefully, varied by up
 *     to 10% in either direction
 * @param connectionIdleMillis how long a client connection may stay open without a call
 * @param methods the methods by path
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
   * How calls of a method are handled.
   *
   * @param path {@code /service/method}, {@code /service/*} or {@code *} for the default
   * @param mode how unary and streaming calls are told apart
   */
  public record MethodConfig(
      String path, RequestClass requestClass, String tenant, BufferingMode mode) {}

  /** Reads and validates the table. Returns null if it is absent; the listener is off then. */
  public static GrpcConfig read(ConfigSection root, List<RequestClass> classes) {
    ConfigSection table = root.table("grpc");
    if (table == null) {
      return null;
    }
    Map<String, RequestClass> classesByName =
        classes.stream()
            .collect(Collectors.toMap(RequestClass::name, Function.identity(), (a, b) -> a));
    Map<String, MethodConfig> methods = new LinkedHashMap<>();
    for (ConfigSection section : table.tables("method")) {
      String path = section.string("path", null);
      String name = section.string("class", null);
      RequestClass requestClass = name == null ? null : classesByName.get(name);
      if (name != null && requestClass == null) {
        section.addError(
            "class",
            "is \""
                + name
                + "\"; a [[class]] of this file expected: "
                + String.join(", ", classesByName.keySet()));
      }
      boolean validPath = path != null && (path.equals("*") || path.matches("/[\\w.]+/(\\*|\\w+)"));
      if (path != null && !validPath) {
        section.addError(
            "path", "is \"" + path + "\"; \"/service/method\", \"/service/*\" or \"*\" expected");
      }
      String tenant = section.optionalString("tenant");
      BufferingMode mode = section.enumValue("mode", BufferingMode.AUTO, BufferingMode.class);
      if (validPath && methods.containsKey(path)) {
        section.addError("path", "\"" + path + "\" is used twice; another one expected");
      }
      methods.put(path == null ? "?" : path, new MethodConfig(path, requestClass, tenant, mode));
      section.rejectUnknownKeys();
    }
    if (!methods.containsKey("*")) {
      table.addError("method", "has no default; a [[grpc.method]] with path = \"*\" expected");
    }
    InetSocketAddress listen = table.address("listen", true);
    GrpcConfig grpc =
        new GrpcConfig(
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

  /** Returns the entry of the method, else that of its service, else the default. */
  MethodConfig method(CharSequence path) {
    MethodConfig exact = methods.size() == 1 ? null : methods.get(path.toString());
    if (exact == null && methods.size() > 1) {
      String text = path.toString();
      exact = methods.get(text.substring(0, text.lastIndexOf('/') + 1) + '*');
    }
    return exact == null ? methods.get("*") : exact;
  }
}
