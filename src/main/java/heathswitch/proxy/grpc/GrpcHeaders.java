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

/**
 * The headers of gRPC over HTTP/2 that the balancer reads or writes, and the rules for which
 * headers are forwarded.
 */
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

  /** Not indexed in the HPACK table, since the time left differs in each call. */
  static final Set<AsciiString> NEVER_INDEXED = Set.of(TIMEOUT);

  /** The maximum size of the headers of a call or an answer. */
  static final int MAX_HEADER_BYTES = 16 << 10;

  static final AsciiString TENANT = AsciiString.cached("x-tenant");

  /**
   * Headers that are not forwarded: they concern a single connection, or only the balancer may set
   * them. The timeout, the number of previous attempts and {@code te} are set again for each
   * attempt.
   */
  private static final Set<AsciiString> HOP_BY_HOP =
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

  /** Whether the content type is gRPC, with any message format. */
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

  /**
   * Turns the headers of a call into those of its attempts, in place. Binary metadata is forwarded
   * unchanged.
   */
  static void prepareRequest(Http2Headers headers) {
    removeHopByHop(headers).scheme("http").set(TE, TRAILERS);
  }

  /** Removes the headers that are not forwarded, in place. */
  static Http2Headers removeHopByHop(Http2Headers headers) {
    List<CharSequence> toRemove = null;
    for (Map.Entry<CharSequence, CharSequence> header : headers) {
      if (HOP_BY_HOP.contains(AsciiString.of(header.getKey()))) {
        toRemove = toRemove == null ? new ArrayList<>(2) : toRemove;
        toRemove.add(header.getKey());
      }
    }
    if (toRemove != null) {
      toRemove.forEach(headers::remove);
    }
    return headers;
  }

  /** The status message for a message above the size limit of the balancer. */
  static String messageTooLong(String what, long length, long maxBytes) {
    return what
        + " message of "
        + length
        + " bytes; most_message of the balancer is "
        + maxBytes
        + " bytes";
  }

  /** Creates a trailers-only answer. */
  static Http2Headers trailersOnly(Status status, String message) {
    return new DefaultHttp2Headers(false)
        .status("200")
        .set(CONTENT_TYPE, GRPC)
        .setInt(STATUS, status.code())
        .set(MESSAGE, percentEncode(message));
  }

  /** Percent-encodes a status message: every byte outside printable ASCII, and the percent sign. */
  static String percentEncode(String message) {
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
