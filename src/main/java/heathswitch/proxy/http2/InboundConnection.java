package heathswitch.proxy.http2;

import io.netty.handler.codec.http2.Http2ConnectionDecoder;
import io.netty.handler.codec.http2.Http2ConnectionEncoder;
import io.netty.handler.codec.http2.Http2Settings;
import java.util.ArrayList;
import java.util.List;

/**
 * A connection opened by the peer, with the calls that the peer starts on it. Supports graceful
 * shutdown and aborting calls on which the peer has stalled. The latter is needed because a peer
 * may keep answering PINGs while a call makes no progress.
 */
public abstract class InboundConnection extends MultiplexedConnection {
  /** A call started by the peer. */
  public interface Call extends StreamHandler {
    /** Whether the call has been waiting for the peer since before the given time. */
    boolean stalledSinceBefore(long beforeNanos);

    /** Aborts the call and closes its stream. */
    void abort();
  }

  private int openCalls;
  private boolean goAwayStarted;
  private boolean goAwayDone;

  protected InboundConnection(
      Http2ConnectionDecoder decoder, Http2ConnectionEncoder encoder, Http2Settings settings) {
    super(decoder, encoder, settings);
  }

  /** Creates the handler of a new call. */
  protected abstract Call createCall(int id);

  @Override
  protected final StreamHandler onStreamOpened(int id) {
    openCalls++;
    return createCall(id);
  }

  /** Must be called once for each call, when its stream is closed. */
  public void callClosed() {
    openCalls--;
    closeIfIdle();
  }

  protected final int openCalls() {
    return openCalls;
  }

  /** Sends GOAWAY and closes the connection after the last open call. */
  public final void closeGracefully() {
    if (!goAwayStarted) {
      goAwayStarted = true;
      sendGracefulGoAway(
          () -> {
            goAwayDone = true;
            closeIfIdle();
          });
    }
  }

  public final void closeIfIdle() {
    if (goAwayDone && openCalls == 0) {
      context().channel().close();
    }
  }

  /** Aborts the calls that have been stalled since before the given time. */
  protected final void abortStalledCalls(long beforeNanos) {
    // Collected first, because aborting a call changes the streams that are iterated over.
    List<Call> stalled = new ArrayList<>(0);
    forEachStreamHandler(
        handler -> {
          if (handler instanceof Call call && call.stalledSinceBefore(beforeNanos)) {
            stalled.add(call);
          }
        });
    stalled.forEach(Call::abort);
  }
}
