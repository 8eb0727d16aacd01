package heathswitch.proxy.http1;

import heathswitch.policy.api.RequestClass;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/** The headers that the balancer reads or writes itself, and the rules for forwarding headers. */
public final class HeaderRules {
  public static final String REQUEST_ID = "X-Request-Id";
  public static final String CLASS = "X-Class";
  public static final String TENANT = "X-Tenant";
  public static final String DEADLINE = "X-Deadline";
  public static final String RETRY = "X-Retry";
  public static final String IDEMPOTENCY_KEY = "Idempotency-Key";
  public static final String NOT_RUN = "X-Not-Run";

  private static final long MAX_SECONDS = 3600;

  /** Headers that apply to a single connection or are rewritten for the next one. */
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

  /** Headers of the balancer's own protocol; forwarded even if a Connection header names them. */
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
   * Why the framing of a request is ambiguous, or null if it is not. Only a plain Content-Length or
   * plain chunked encoding is interpreted identically everywhere; anything else would allow request
   * smuggling.
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

  /** Whether the method and the presence of an idempotency key match the effect of the class. */
  public static boolean methodMatchesClass(
      RequestClass requestClass, HttpMethod method, boolean hasKey) {
    return switch (requestClass.effect()) {
      case SAFE -> method.equals(HttpMethod.GET);
      case KEYED -> method.equals(HttpMethod.POST) && hasKey;
      case UNSAFE -> method.equals(HttpMethod.POST) && !hasKey;
    };
  }

  /** Whether a text consists of visible ASCII characters and is neither empty nor too long. */
  public static boolean isVisibleAscii(String text, int maxLength) {
    return !text.isEmpty()
        && text.length() <= maxLength
        && text.chars().allMatch(c -> c > ' ' && c < 127);
  }

  /** Copies the end-to-end headers and omits the hop-by-hop headers. */
  public static void copyEndToEndHeaders(HttpHeaders from, HttpHeaders to) {
    Set<String> connectionOptions = connectionOptions(from);
    for (Map.Entry<String, String> header : from) {
      String name = header.getKey().toLowerCase(Locale.ROOT);
      if (!HOP_BY_HOP.contains(name)
          && (PROTOCOL_HEADERS.contains(name) || !connectionOptions.contains(name))) {
        to.add(header.getKey(), header.getValue());
      }
    }
  }

  /** The names that the Connection headers list, in lower case. */
  private static Set<String> connectionOptions(HttpHeaders headers) {
    Set<String> options = new HashSet<>();
    for (String value : headers.getAll(HttpHeaderNames.CONNECTION)) {
      for (String option : value.split(",")) {
        options.add(option.trim().toLowerCase(Locale.ROOT));
      }
    }
    return options;
  }

  /** Parses a decimal number of seconds into nanoseconds; -1 if the text is not such a number. */
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
    // Far longer than any useful number; bounds the time spent on parsing.
    if (!digits || text.length() > 64) {
      return -1;
    }
    return (long) (Math.min(MAX_SECONDS, Double.parseDouble(text)) * 1e9);
  }

  /** Formats nanoseconds as seconds with three decimals, rounded down. */
  public static String formatSeconds(long nanos) {
    long millis = Math.max(0, nanos / 1_000_000);
    long fraction = millis % 1000;
    return millis / 1000 + (fraction < 10 ? ".00" : fraction < 100 ? ".0" : ".") + fraction;
  }
}
