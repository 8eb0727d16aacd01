package heathswitch.proxy.grpc;

import heathswitch.policy.grpc.Status;
import io.netty.handler.codec.http2.DefaultHttp2Headers;
import io.netty.handler.codec.http2.Http2Headers;
import io.netty.util.AsciiString;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The headers of gRPC over HTTP/2 that the balancer reads or writes, and which ones go on. */
final class GrpcHeaders {
  static final AsciiString CONTENT_TYPE = AsciiString.cached("content-type");
  static final AsciiString GRPC = AsciiString.cached("application/grpc");
  static final AsciiString STATUS = AsciiString.cached("grpc-status");
  static final AsciiString MESSAGE = AsciiString.cached("grpc-message");
  static final AsciiString TIMEOUT = AsciiString.cached("grpc-timeout");
  static final AsciiString PREVIOUS_ATTEMPTS = AsciiString.cached("grpc-previous-rpc-attempts");
  static final AsciiString PUSHBACK = AsciiString.cached("grpc-retry-pushback-ms");
  static final AsciiString NOT_RUN = AsciiString.cached("x-not-run");
  static final AsciiString TE = AsciiString.cached("te");
  static final AsciiString TRAILERS = AsciiString.cached("trailers");

  /** The time left is another in every call. */
  static final Set<AsciiString> CHANGING = Set.of(TIMEOUT);

  /** Bytes of the headers of a call or an answer. */
  static final int MOST_BYTES = 16 << 10;

  static final AsciiString TENANT = AsciiString.cached("x-tenant");

  /**
   * They speak of one connection, or are the balancer's own words. The time left, the number of
   * attempts and {@code te} of a call are written anew for each attempt.
   */
  private static final Set<AsciiString> OWN_HOP =
      Set.of(
          AsciiString.of("connection"),
          AsciiString.of("keep-alive"),
          AsciiString.of("proxy-connection"),
          AsciiString.of("transfer-encoding"),
          AsciiString.of("upgrade"),
          AsciiString.of("host"),
          TE,
          TIMEOUT,
          PREVIOUS_ATTEMPTS,
          PUSHBACK,
          NOT_RUN);

  private GrpcHeaders() {}

  /** Whether the content type is gRPC's, with whatever message format. */
  static boolean isGrpc(Http2Headers headers) {
    CharSequence value = headers.get(CONTENT_TYPE);
    if (value == null) {
      return false;
    }
    AsciiString type = AsciiString.of(value);
    int length = GRPC.length();
    return type.startsWith(GRPC)
        && (type.length() == length || "+;".indexOf(type.charAt(length)) >= 0);
  }

  /** Makes a call's headers those of its attempts, binary ones as they are. */
  static void stripCall(Http2Headers headers) {
    strip(headers).scheme("http").set(TE, TRAILERS);
  }

  /** Leaves what goes on of headers or trailers, in place. */
  static Http2Headers strip(Http2Headers headers) {
    List<CharSequence> own = null;
    for (Map.Entry<CharSequence, CharSequence> header : headers) {
      if (OWN_HOP.contains(AsciiString.of(header.getKey()))) {
        own = own == null ? new ArrayList<>(2) : own;
        own.add(header.getKey());
      }
    }
    if (own != null) {
      own.forEach(headers::remove);
    }
    return headers;
  }

  /** What a caller is told of a message that is longer than the balancer takes. */
  static String tooLong(String what, long claimed, long most) {
    return what
        + " message of "
        + claimed
        + " bytes; most_message of the balancer is "
        + most
        + " bytes";
  }

  /** Trailers without anything before them, which are an answer of their own. */
  static Http2Headers trailersOnly(Status status, String message) {
    return new DefaultHttp2Headers(false)
        .status("200")
        .set(CONTENT_TYPE, GRPC)
        .setInt(STATUS, status.code())
        .set(MESSAGE, percent(message));
  }

  /** Percent-encoding of a status message: all that is not visible ASCII, and the sign itself. */
  static String percent(String message) {
    StringBuilder text = new StringBuilder();
    for (byte b : message.getBytes(StandardCharsets.UTF_8)) {
      if (b >= ' ' && b <= '~' && b != '%') {
        text.append((char) b);
      } else {
        text.append(String.format("%%%02X", b & 0xff));
      }
    }
    return text.toString();
  }
}
