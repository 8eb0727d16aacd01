package heathswitch.policy.api;

/** In what form a request comes: which servers can take it, and whether it may have a copy. */
public enum RequestProtocol {
  /** Over HTTP/1.1, whole. */
  HTTP1(1, true),
  /** Over HTTP/1.1, with more of its body still to come. */
  HTTP1_STREAM(1, false),
  /** Over gRPC, whole. */
  GRPC(2, true),
  /** Over gRPC, with more of it still to come: only one attempt at a time can have that. */
  GRPC_STREAM(2, false);

  /** Sets of protocols that a server may speak, none and all of them included. */
  public static final int PROTOCOL_SETS = 4;

  private final int protocolBit;
  private final boolean hedgeable;

  RequestProtocol(int protocolBit, boolean hedgeable) {
    this.protocolBit = protocolBit;
    this.hedgeable = hedgeable;
  }

  /** The protocol's bit in {@link ServerEntry#speaks}. */
  public int protocolBit() {
    return protocolBit;
  }

  /** Whether a second attempt may run beside a first one. */
  public boolean hedgeable() {
    return hedgeable;
  }
}
