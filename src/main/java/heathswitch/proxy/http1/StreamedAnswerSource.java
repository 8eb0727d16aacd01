package heathswitch.proxy.http1;

/** The producer of a streamed answer: an exchange with an upstream or with another site. */
public interface StreamedAnswerSource {
  /** Backpressure from the receiver: stops or resumes the delivery of data. */
  void setPaused(boolean pause);

  /** The receiver is gone; the rest of the answer is not needed. */
  void clientDisconnected();
}
