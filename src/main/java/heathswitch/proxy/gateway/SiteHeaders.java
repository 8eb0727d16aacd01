package heathswitch.proxy.gateway;

import io.netty.handler.codec.http2.Http2Headers;
import io.netty.util.AsciiString;
import java.util.Set;

/** The headers between gateways; none of them is forwarded to a server or a client. */
final class SiteHeaders {
  /** The common prefix of all names. */
  static final AsciiString PREFIX = AsciiString.cached("x-site-");

  /** The sites that the call has passed through; see {@link heathswitch.policy.gateway.Trail}. */
  static final AsciiString TRAIL = AsciiString.cached("x-site-trail");

  /** The time in microseconds that the peer site may use. */
  static final AsciiString LEFT = AsciiString.cached("x-site-left");

  /** The effect of the class, so that sites with different settings notice before a call runs. */
  static final AsciiString EFFECT = AsciiString.cached("x-site-effect");

  /** How the call ended: {@link Result} in lower case. */
  static final AsciiString RESULT = AsciiString.cached("x-site-result");

  /** The time in microseconds that the peer site took. */
  static final AsciiString TOOK = AsciiString.cached("x-site-took");

  /** The number of calls that the peer site would admit now. */
  static final AsciiString ROOM = AsciiString.cached("x-site-room");

  /** The headers whose value differs from call to call. */
  static final Set<AsciiString> VARIABLE_HEADERS = Set.of(LEFT, TOOK, ROOM);

  /** Maximum size in bytes of the headers of a call or an answer. */
  static final int MAX_HEADER_BYTES = 64 << 10;

  /** How a call ended at the peer site. */
  enum Result {
    /** The answer comes from a server. */
    SERVED,
    /** The call has not run. */
    REFUSED,
    /** The call may have run. */
    FAILED;

    private final AsciiString text = AsciiString.cached(name().toLowerCase(java.util.Locale.ROOT));

    AsciiString text() {
      return text;
    }

    /** Parses a header value; returns null if it is not a result. */
    static Result parse(CharSequence text) {
      for (Result result : values()) {
        if (result.text.contentEquals(text == null ? "" : text)) {
          return result;
        }
      }
      return null;
    }
  }

  private SiteHeaders() {}

  /** Returns the value of a header as a non-negative integer, or -1 if it is missing or invalid. */
  static long number(Http2Headers headers, AsciiString name) {
    CharSequence text = headers.get(name);
    if (text == null || text.length() == 0 || text.length() > 15) {
      return -1;
    }
    long number = 0;
    for (int i = 0; i < text.length(); i++) {
      char c = text.charAt(i);
      if (c < '0' || c > '9') {
        return -1;
      }
      number = 10 * number + c - '0';
    }
    return number;
  }

  /** Whether a header is a pseudo-header or only for gateways, and must not be forwarded. */
  static boolean isLinkOnly(CharSequence name) {
    return name.length() > 0 && name.charAt(0) == ':' || AsciiString.of(name).startsWith(PREFIX);
  }
}
