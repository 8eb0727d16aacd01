package heathswitch.proxy.http1;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.List;

/**
 * Netty's request decoder, but stricter. It rejects requests that have both Content-Length and
 * chunked encoding. The upstream might frame such a request differently, which allows request
 * smuggling; Netty would drop the length and accept the request. Only a client that declares the
 * framing of a body twice is affected, which no correct client does. It also rejects bytes that
 * cannot begin a request as soon as they arrive; Netty would skip some of them, and wait for the
 * rest of the line with others. The decoder also counts reads, so that the beginning of an
 * incomplete head can be detected.
 */
public final class StrictRequestDecoder extends HttpRequestDecoder {
  private static final int MAX_LINE_BYTES = 8 << 10;
  private static final int MAX_HEAD_BYTES = 16 << 10;
  private static final int MAX_CHUNK_BYTES = 16 << 10;

  private static final String NO_REQUEST = "bytes that do not begin a request";

  private final SizedHeadersFactory headers;
  private final RequestStart start = new RequestStart();

  /** Whether a request has to begin at the next byte. */
  private boolean betweenRequests = true;

  /** Whether further input is discarded, because no request can be found in it. */
  private boolean malformed;

  private int readCount;

  public StrictRequestDecoder() {
    this(new SizedHeadersFactory());
  }

  private StrictRequestDecoder(SizedHeadersFactory headers) {
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
    if (malformed) {
      in.skipBytes(in.readableBytes());
      return;
    }
    if (betweenRequests && !requestBegins(in, out)) {
      return;
    }
    int decoded = out.size();
    super.decode(ctx, in, out);
    if (out.size() > decoded) {
      headers.finished();
      decoded((HttpObject) out.get(out.size() - 1));
    }
  }

  private boolean requestBegins(ByteBuf in, List<Object> out) {
    RequestStart.Verdict verdict = start.check(in);
    if (verdict == RequestStart.Verdict.INVALID) {
      malformed = true;
      HttpMessage message = createInvalidMessage();
      message.setDecoderResult(DecoderResult.failure(new IllegalArgumentException(NO_REQUEST)));
      out.add(message);
      in.skipBytes(in.readableBytes());
    }
    betweenRequests = verdict != RequestStart.Verdict.REQUEST;
    return !betweenRequests;
  }

  /** Called with the last object of a step of decoding. */
  private void decoded(HttpObject last) {
    if (last.decoderResult().isFailure()) {
      malformed = true;
    } else if (last instanceof LastHttpContent) {
      betweenRequests = true;
      start.reset();
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

  @Override
  protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
    throw new IllegalArgumentException("both Content-Length and Transfer-Encoding");
  }
}
