package heathswitch.proxy.http1;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/**
 * Receives an answer that is too long or too slow to be buffered. It gets the head first, then the
 * data, with a flush after all data that was read together, and last either the end or an abort.
 */
public interface StreamedAnswerSink {
  /** The head of the answer. From now on the sink tells the source when to pause. */
  void answerStarted(HttpResponse head, StreamedAnswerSource source);

  /** A piece of the body; ownership passes to the sink. */
  void answerData(ByteBuf piece);

  /** No more data is available for now. */
  void answerFlush();

  /** The answer is complete. */
  void answerEnd();

  /** The rest of the answer is lost, and the client must be able to detect that. */
  void answerAborted();
}
