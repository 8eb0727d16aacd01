package heathswitch.proxy.http1;

import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.util.AsciiString;

/**
 * Netty's decoder, less forgiving. In answers it takes a line without a colon for a header whose
 * name ends at the blank, so a spoilt head was served as a good one; it also drops a length that
 * stands beside chunks. What cannot be read in one way only is no answer. It would do harm to an
 * upstream that puts a blank before the colon, which HTTP has forbidden for long.
 */
public final class StrictResponseDecoder extends HttpResponseDecoder {
  private static final int MAX_LINE_BYTES = 4 << 10;
  private static final int MAX_HEAD_BYTES = 16 << 10;
  private static final int MAX_CHUNK_BYTES = 16 << 10;

  private int readCount;

  public StrictResponseDecoder() {
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

  /** Whether bytes have come that belong to no message yet. */
  public boolean hasUnparsedBytes() {
    return actualReadableBytes() > 0;
  }

  @Override
  protected AsciiString splitHeaderName(byte[] line, int start, int length) {
    int end = start + length;
    if (end >= line.length || line[end] != ':') {
      throw new IllegalArgumentException("a header line without a colon behind its name");
    }
    return super.splitHeaderName(line, start, length);
  }

  @Override
  protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
    throw new IllegalArgumentException("both Content-Length and Transfer-Encoding");
  }
}
