package heathswitch.policy.adapter;

/** Invalid input; the message has the line and what was expected there. */
final class ProtocolException extends Exception {
  private static final long serialVersionUID = 1L;

  ProtocolException(int line, String expected) {
    super("line " + line + ": " + expected);
  }
}
