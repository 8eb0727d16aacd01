package heathswitch.proxy.http1;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpMethod;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * Checks the bytes at which a request has to begin. What follows a request that was longer than its
 * declared length usually cannot be the beginning of another one, and shows this long before a line
 * of it is complete.
 */
final class RequestStart {
  enum Verdict {
    /** The bytes begin with a method. */
    REQUEST,
    /** The bytes may become a method or an empty line. */
    INCOMPLETE,
    /** No request begins like this. */
    INVALID
  }

  private static final byte[] EMPTY_LINE = {'\r', '\n'};

  /** The methods that HTTP defines, each with the blank that ends it. */
  private static final List<byte[]> METHODS =
      List.of(
              HttpMethod.GET,
              HttpMethod.POST,
              HttpMethod.PUT,
              HttpMethod.HEAD,
              HttpMethod.DELETE,
              HttpMethod.PATCH,
              HttpMethod.OPTIONS,
              HttpMethod.TRACE,
              HttpMethod.CONNECT)
          .stream()
          .map(method -> (method.name() + " ").getBytes(StandardCharsets.US_ASCII))
          .toList();

  /** Whether an empty line has been skipped; some old clients send one behind a body. */
  private boolean emptyLineSkipped;

  /** Checks the readable bytes, and consumes an empty line ahead of the request. */
  Verdict check(ByteBuf in) {
    if (!emptyLineSkipped && startsWith(in, EMPTY_LINE)) {
      if (in.readableBytes() < EMPTY_LINE.length) {
        return Verdict.INCOMPLETE;
      }
      in.skipBytes(EMPTY_LINE.length);
      emptyLineSkipped = true;
    }
    if (!in.isReadable()) {
      return Verdict.INCOMPLETE;
    }
    for (byte[] method : METHODS) {
      if (startsWith(in, method)) {
        return in.readableBytes() < method.length ? Verdict.INCOMPLETE : Verdict.REQUEST;
      }
    }
    return Verdict.INVALID;
  }

  /** Prepares for the next request. */
  void reset() {
    emptyLineSkipped = false;
  }

  /** Whether the readable bytes and the expected ones are equal, as far as both go. */
  private static boolean startsWith(ByteBuf in, byte[] expected) {
    int length = Math.min(in.readableBytes(), expected.length);
    for (int i = 0; i < length; i++) {
      if (in.getByte(in.readerIndex() + i) != expected[i]) {
        return false;
      }
    }
    return length > 0;
  }
}
