package heathswitch.proxy.http1;

import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/**
 * Netty's decoder, less forgiving. A request with both a length and chunks means one thing here and
 * may mean another at the upstream, and what the two read differently hides a second request; the
 * decoder would drop the length and go on. It also counts reads, so that a started head shows.
 * Could do harm only to a client that frames a body twice, which no sound one does.
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

  /** How often bytes have come; differs from an earlier figure if some came since. */
  public int readCount() {
    return readCount;
  }

  @Override
  protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
    throw new IllegalArgumentException("both Content-Length and Transfer-Encoding");
  }
}
