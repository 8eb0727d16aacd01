package heathswitch.proxy.http1;

/** What brings an answer that goes on as it comes. */
public interface StreamedAnswerSource {
  /** Whoever gets it takes no more for now, or takes more again. */
  void setPaused(boolean pause);

  /** Whoever gets it has gone; nobody wants the rest. */
  void clientDisconnected();
}
