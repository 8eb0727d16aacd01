package heathswitch.policy.adapter;

/** Input that is not the wire; the message says where and what was expected. */
final class ProtocolException extends Exception {
  private static final long serialVersionUID = 1L;

  ProtocolException(int line, String expected) {
    super("line " + line + ": " + expected);
  }
}
