package heathswitch.proxy.http1;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;

/** Creates the headers for one decoder and keeps track of those that are still being decoded. */
final class SizedHeadersFactory implements HttpHeadersFactory {
  private SizedHttpHeaders unfinished;

  @Override
  public HttpHeaders newHeaders() {
    unfinished = new SizedHttpHeaders();
    return unfinished;
  }

  @Override
  public HttpHeaders newEmptyHeaders() {
    return newHeaders();
  }

  /** The decoder has passed on the message or the trailers that it was decoding. */
  void finished() {
    unfinished = null;
  }

  /** The estimated heap of the headers that have been decoded of an incomplete head or trailer. */
  long unfinishedBytes() {
    return unfinished == null ? 0 : unfinished.heapBytes();
  }
}
