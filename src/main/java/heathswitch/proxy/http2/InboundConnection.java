package heathswitch.proxy.http2;

import io.netty.handler.codec.http2.Http2ConnectionDecoder;
import io.netty.handler.codec.http2.Http2ConnectionEncoder;
import io.netty.handler.codec.http2.Http2Settings;
import java.util.ArrayList;
import java.util.List;

/**
 * A connection that others began, with their calls on it: left in good order, and rid of calls
 * whose other side has stopped. Both bounds are needed, as its PINGs may go on all the while.
 */
public abstract class InboundConnection extends MultiplexedConnection {
  /** A call of the other side. */
  public interface Call extends StreamHandler {
    /** Whether it is the other side's turn, and has been since then. */
    boolean stalledSinceBefore(long beforeNanos);

    /** Gives the call up; its stream ends with it. */
    void abort();
  }

  private int openCalls;
  private boolean goAwayStarted;
  private boolean goAwayDone;

  protected InboundConnection(
      Http2ConnectionDecoder decoder, Http2ConnectionEncoder encoder, Http2Settings settings) {
    super(decoder, encoder, settings);
  }

  /** Whoever takes a call that begins. */
  protected abstract Call createCall(int id);

  @Override
  protected final StreamHandler onStreamOpened(int id) {
    openCalls++;
    return createCall(id);
  }

  /** To be called once for each call, when its stream is gone. */
  public void callClosed() {
    openCalls--;
    closeIfIdle();
  }

  protected final int openCalls() {
    return openCalls;
  }

  /** No new calls; those that are on end by themselves. */
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

  /** Cuts the calls that are stuck since before then. */
  protected final void abortStalledCalls(long beforeNanos) {
    List<Call> stalled =
        new ArrayList<>(0); // Cut inside the walk, they would change what is walked.
    forEachStreamHandler(
        handler -> {
          if (handler instanceof Call call && call.stalledSinceBefore(beforeNanos)) {
            stalled.add(call);
          }
        });
    stalled.forEach(Call::abort);
  }
}
