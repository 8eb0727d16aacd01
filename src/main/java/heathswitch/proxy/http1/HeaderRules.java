package heathswitch.proxy.http1;

import heathswitch.policy.api.RequestClass;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/** The headers that the balancer itself reads or writes, and which ones go on. */
public final class HeaderRules {
  public static final String REQUEST_ID = "X-Request-Id";
  public static final String CLASS = "X-Class";
  public static final String TENANT = "X-Tenant";
  public static final String DEADLINE = "X-Deadline";
  public static final String RETRY = "X-Retry";
  public static final String IDEMPOTENCY_KEY = "Idempotency-Key";
  public static final String NOT_RUN = "X-Not-Run";

  private static final long MAX_SECONDS = 3600;

  /** These speak of one connection, or are written anew for the next one. */
  private static final Set<String> HOP_BY_HOP =
      Set.of(
          "connection",
          "keep-alive",
          "proxy-connection",
          "te",
          "trailer",
          "transfer-encoding",
          "upgrade",
          "expect",
          "content-length",
          "x-deadline");

  /** The protocol's own headers go on even where a Connection header names them. */
  private static final Set<String> PROTOCOL_HEADERS =
      Set.of(
          "x-request-id",
          "x-class",
          "x-tenant",
          "x-retry",
          "x-cost-hint",
          "x-extras",
          "idempotency-key");

  private HeaderRules() {}

  /**
   * What is unclear about where a request ends, or null. Only a plain length or plain chunks are
   * read the same way by all; anything else could hide a second request from one of two readers.
   */
  public static String framingError(HttpRequest request) {
    List<String> codings = request.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
    if (codings.isEmpty()) {
      return null;
    }
    if (codings.size() > 1
        || !codings.get(0).equalsIgnoreCase("chunked")
        || request.headers().contains(HttpHeaderNames.CONTENT_LENGTH)
        || !request.protocolVersion().equals(HttpVersion.HTTP_1_1)) {
      return "unclear " + HttpHeaderNames.TRANSFER_ENCODING;
    }
    return null;
  }

  /** Whether a method, with a key or without one, is that of a class's effect. */
  public static boolean methodMatchesClass(
      RequestClass requestClass, HttpMethod method, boolean hasKey) {
    return switch (requestClass.effect()) {
      case SAFE -> method.equals(HttpMethod.GET);
      case KEYED -> method.equals(HttpMethod.POST) && hasKey;
      case UNSAFE -> method.equals(HttpMethod.POST) && !hasKey;
    };
  }

  /** Whether a text is of visible ASCII characters, and not empty or longer than allowed. */
  public static boolean isVisibleAscii(String text, int maxLength) {
    return !text.isEmpty()
        && text.length() <= maxLength
        && text.chars().allMatch(c -> c > ' ' && c < 127);
  }

  /** Copies what is meant for the other end. */
  public static void copyEndToEndHeaders(HttpHeaders from, HttpHeaders to) {
    for (Map.Entry<String, String> header : from) {
      String name = header.getKey().toLowerCase(Locale.ROOT);
      if (!HOP_BY_HOP.contains(name)
          && (PROTOCOL_HEADERS.contains(name)
              || !from.containsValue(HttpHeaderNames.CONNECTION, name, true))) {
        to.add(header.getKey(), header.getValue());
      }
    }
  }

  /** Nanoseconds from a number of seconds, or -1 for what is no such number. */
  public static long parseSeconds(String text) {
    boolean digits = false;
    for (int i = 0; i < text.length(); i++) {
      char c = text.charAt(i);
      if (c >= '0' && c <= '9') {
        digits = true;
      } else if (c != '.' || text.indexOf('.') != i) {
        return -1;
      }
    }
    // Longer than any sensible figure, but still parsed in a bounded time.
    if (!digits || text.length() > 64) {
      return -1;
    }
    return (long) (Math.min(MAX_SECONDS, Double.parseDouble(text)) * 1e9);
  }

  /** Seconds with three decimals, rounded down. */
  public static String formatSeconds(long nanos) {
    long millis = Math.max(0, nanos / 1_000_000);
    long fraction = millis % 1000;
    return millis / 1000 + (fraction < 10 ? ".00" : fraction < 100 ? ".0" : ".") + fraction;
  }
}
