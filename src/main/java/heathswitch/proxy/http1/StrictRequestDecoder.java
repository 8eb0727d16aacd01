package heathswitch.proxy.http1;

import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/**
 * Netty's request decoder, but rejecting requests that have both Content-Length and chunked
 * encoding. The upstream might frame such a request differently, which allows request smuggling;
 * Netty would drop the length and accept the request. Only a client that declares the framing of a
 * body twice is affected, which no correct client does. The decoder also counts reads, so that the
 * beginning of an incomplete head can be detected.
 */
public final class StrictRequestDecoder extends HttpRequestDecoder {
  private static final int MAX_LINE_BYTES = 8 << 10;
  private static final int MAX_HEAD_BYTES = 16 << 10;
  private static final int MAX_CHUNK_BYTES = 16 << 10;

  private int readCount;

  public StrictRequestDecoder() {
    super(
        new HttpDecoderConfig()
            .setMaxInitialLineLength(MAX_LINE_BYTES)
            .setMaxHeaderSize(MAX_HEAD_BYTES)
            .setMaxChunkSize(MAX_CHUNK_BYTES));
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
    readCount++;
    super.channelRead(ctx, message);
  }

  /** Number of reads so far; a change since an earlier call means that bytes have arrived. */
  public int readCount() {
    return readCount;
  }

  @Override
  protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
    throw new IllegalArgumentException("both Content-Length and Transfer-Encoding");
  }
}
