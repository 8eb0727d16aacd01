package heathswitch.policy.api;

/**
 * The protocol of a request and whether its body is complete. Determines which servers can take the
 * request and whether it can be hedged.
 */
public enum RequestProtocol {
  /** HTTP/1.1 with a complete body. */
  HTTP1(1, true),
  /** HTTP/1.1 with a body that is still arriving. */
  HTTP1_STREAM(1, false),
  /** gRPC with a complete request. */
  GRPC(2, true),
  /** gRPC with a request that is still arriving; only one attempt at a time can receive it. */
  GRPC_STREAM(2, false);

  /** Number of possible sets of protocols, including the empty and the full one. */
  public static final int PROTOCOL_SETS = 4;

  private final int protocolBit;
  private final boolean hedgeable;

  RequestProtocol(int protocolBit, boolean hedgeable) {
    this.protocolBit = protocolBit;
    this.hedgeable = hedgeable;
  }

  /** The bit of the protocol in {@link ServerEntry#protocols}. */
  public int protocolBit() {
    return protocolBit;
  }

  /** Whether a second attempt may run at the same time as the first. */
  public boolean hedgeable() {
    return hedgeable;
  }
}
