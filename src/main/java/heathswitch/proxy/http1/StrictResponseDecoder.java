package heathswitch.proxy.http1;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.util.AsciiString;
import java.util.List;

/**
 * Netty's response decoder, but rejecting ambiguous heads. Netty accepts a header line without a
 * colon as a header whose name ends at the first blank, so corrupted heads were served as valid
 * ones; it also drops a Content-Length next to chunked encoding. Answers with such heads are
 * rejected. This affects upstreams that put a blank before the colon, which HTTP has long
 * forbidden.
 */
public final class StrictResponseDecoder extends HttpResponseDecoder {
  private static final int MAX_LINE_BYTES = 4 << 10;
  private static final int MAX_HEAD_BYTES = 16 << 10;
  private static final int MAX_CHUNK_BYTES = 16 << 10;

  private final SizedHeadersFactory headers;
  private int readCount;

  public StrictResponseDecoder() {
    this(new SizedHeadersFactory());
  }

  private StrictResponseDecoder(SizedHeadersFactory headers) {
    super(
        new HttpDecoderConfig()
            .setHeadersFactory(headers)
            .setTrailersFactory(headers)
            .setMaxInitialLineLength(MAX_LINE_BYTES)
            .setMaxHeaderSize(MAX_HEAD_BYTES)
            .setMaxChunkSize(MAX_CHUNK_BYTES));
    this.headers = headers;
  }

  @Override
  protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) throws Exception {
    int decoded = out.size();
    super.decode(ctx, in, out);
    if (out.size() > decoded) {
      headers.finished();
    }
  }

  /** The estimated heap of an incomplete head or trailer. */
  long unfinishedHeadBytes() {
    return headers.unfinishedBytes();
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

  /** Whether bytes have arrived that do not form a message yet. */
  public boolean hasUnparsedBytes() {
    return actualReadableBytes() > 0;
  }

  @Override
  protected AsciiString splitHeaderName(byte[] line, int start, int length) {
    int end = start + length;
    if (end >= line.length || line[end] != ':') {
      throw new IllegalArgumentException("header line without a colon after the name");
    }
    return super.splitHeaderName(line, start, length);
  }

  @Override
  protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
    throw new IllegalArgumentException("both Content-Length and Transfer-Encoding");
  }
}
