package heathswitch.proxy.http1;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/**
 * Whoever gets an answer that is too long or too slow to be gathered, piece by piece: first its
 * head, then pieces with a flush after those that came together, then its end or that it broke off.
 */
public interface StreamedAnswerSink {
  /** The head; the source hears from now on when it is to pause. */
  void answerStarted(HttpResponse from, StreamedAnswerSource source);

  /** A piece of it, which it takes over. */
  void answerData(ByteBuf piece);

  /** Nothing more has come for now. */
  void answerFlush();

  /** All of it has come. */
  void answerEnd();

  /** The rest will not come, and whoever waits for it must be able to tell. */
  void answerAborted();
}
