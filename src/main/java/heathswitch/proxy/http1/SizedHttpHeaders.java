package heathswitch.proxy.http1;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * Headers that estimate the heap they occupy while a decoder adds to them. A short line takes many
 * times its bytes on the wire.
 */
final class SizedHttpHeaders extends DefaultHttpHeaders {
  /** Heap of one header besides its characters: the entry and the objects of name and value. */
  static final int HEADER_OVERHEAD_BYTES = 160;

  private long heapBytes;

  @Override
  public HttpHeaders add(CharSequence name, Object value) {
    heapBytes += HEADER_OVERHEAD_BYTES + name.length();
    if (value instanceof CharSequence text) {
      heapBytes += text.length();
    }
    return super.add(name, value);
  }

  /** The estimated heap of all headers that were added. */
  long heapBytes() {
    return heapBytes;
  }

  /** The estimated heap of the headers or trailers of a decoded part. */
  static long heapBytesOf(HttpObject part) {
    long bytes = 0;
    if (part instanceof HttpMessage message) {
      bytes += heapBytesOf(message.headers());
    }
    if (part instanceof LastHttpContent last) {
      bytes += heapBytesOf(last.trailingHeaders());
    }
    return bytes;
  }

  private static long heapBytesOf(HttpHeaders headers) {
    return headers instanceof SizedHttpHeaders sized ? sized.heapBytes : 0;
  }
}
