package heathswitch.proxy.gateway;

import io.netty.handler.codec.http2.Http2Headers;
import io.netty.util.AsciiString;
import java.util.Set;

/** The headers that gateways say to each other; none of them goes on to a server or a client. */
final class SiteHeaders {
  /** What all of their names begin with. */
  static final AsciiString PREFIX = AsciiString.cached("x-site-");

  /** {@link heathswitch.policy.gateway.Trail}. */
  static final AsciiString TRAIL = AsciiString.cached("x-site-trail");

  /** Microseconds that the far site may use. */
  static final AsciiString LEFT = AsciiString.cached("x-site-left");

  /** The class's effect, so that two sites that differ on it find out before anything runs. */
  static final AsciiString EFFECT = AsciiString.cached("x-site-effect");

  /** How the call ended: {@link Result} in small letters. */
  static final AsciiString RESULT = AsciiString.cached("x-site-result");

  /** Microseconds that the far site took. */
  static final AsciiString TOOK = AsciiString.cached("x-site-took");

  /** Calls that the far site would take now. */
  static final AsciiString ROOM = AsciiString.cached("x-site-room");

  static final Set<AsciiString> CHANGING = Set.of(LEFT, TOOK, ROOM);

  /** Bytes of the headers of a call or an answer. */
  static final int MOST_BYTES = 64 << 10;

  /** How a call ended at the far site. */
  enum Result {
    /** The answer is that of a server. */
    SERVED,
    /** Nothing ran. */
    REFUSED,
    /** It may have run. */
    FAILED;

    private final AsciiString text = AsciiString.cached(name().toLowerCase(java.util.Locale.ROOT));

    AsciiString text() {
      return text;
    }

    /** Null for what is none. */
    static Result of(CharSequence text) {
      for (Result result : values()) {
        if (result.text.contentEquals(text == null ? "" : text)) {
          return result;
        }
      }
      return null;
    }
  }

  private SiteHeaders() {}

  /** A whole number that is not below zero, or -1 for what is none. */
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

  /** Whether a header is between gateways or frames the message, and not for whoever is behind. */
  static boolean own(CharSequence name) {
    return name.length() > 0 && name.charAt(0) == ':' || AsciiString.of(name).startsWith(PREFIX);
  }
}
