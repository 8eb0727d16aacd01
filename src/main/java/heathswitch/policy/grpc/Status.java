package heathswitch.policy.grpc;

import heathswitch.policy.api.Outcome;

/**
 * The gRPC status codes (statuscodes page of the protocol documentation) and the outcome of an
 * attempt that was answered with each of them: whether the server failed, or answered as asked.
 */
public enum Status {
  OK(Outcome.OK),
  /** The application cancelled the call, in most cases because its caller did. */
  CANCELLED(Outcome.OK),
  /** Libraries use this for an uncaught exception. */
  UNKNOWN(Outcome.ERROR),
  INVALID_ARGUMENT(Outcome.OK),
  /** The caller's deadline passed at the server. */
  DEADLINE_EXCEEDED(Outcome.ERROR),
  NOT_FOUND(Outcome.OK),
  ALREADY_EXISTS(Outcome.OK),
  PERMISSION_DENIED(Outcome.OK),
  /** The server or a quota of the application is exhausted; in both cases nothing was served. */
  RESOURCE_EXHAUSTED(Outcome.ERROR),
  FAILED_PRECONDITION(Outcome.OK),
  ABORTED(Outcome.OK),
  OUT_OF_RANGE(Outcome.OK),
  UNIMPLEMENTED(Outcome.OK),
  INTERNAL(Outcome.ERROR),
  /** The call may have run, unless the server states that it did not. */
  UNAVAILABLE(Outcome.ERROR),
  DATA_LOSS(Outcome.ERROR),
  UNAUTHENTICATED(Outcome.OK);

  private static final Status[] ALL = values();

  private final Outcome outcome;

  Status(Outcome outcome) {
    this.outcome = outcome;
  }

  /** Returns the code on the wire. */
  public int code() {
    return ordinal();
  }

  /** Parses the value of a status trailer; returns null if it is not a status code. */
  public static Status parse(CharSequence text) {
    if (text == null || text.length() == 0 || text.length() > 2) {
      return null;
    }
    int code = 0;
    for (int i = 0; i < text.length(); i++) {
      char c = text.charAt(i);
      if (c < '0' || c > '9') {
        return null;
      }
      code = 10 * code + c - '0';
    }
    return code < ALL.length ? ALL[code] : null;
  }

  /**
   * Maps an HTTP status to a gRPC status, for an answer without a gRPC status (page on mapping HTTP
   * status codes of the protocol documentation). Such an answer mostly comes from a proxy or from a
   * server of another protocol.
   *
   * @param code the HTTP status; 200 maps to UNKNOWN too, because a server that had served the call
   *     would have sent a gRPC status
   */
  public static Status fromHttpStatus(int code) {
    return switch (code) {
      case 400 -> INTERNAL;
      case 401 -> UNAUTHENTICATED;
      case 403 -> PERMISSION_DENIED;
      case 404 -> UNIMPLEMENTED;
      case 429, 502, 503, 504 -> UNAVAILABLE;
      default -> UNKNOWN;
    };
  }

  /**
   * Maps the error code with which the server reset a stream to a gRPC status (section on errors of
   * the protocol's page on HTTP/2; the codes are those of RFC 9113, section 7).
   */
  public static Status fromResetCode(long code) {
    return switch ((int) Math.min(Math.max(0, code), 0xff)) {
      case 0x5 -> UNKNOWN; // STREAM_CLOSED is not mapped to a status by the protocol.
      case 0x7 -> UNAVAILABLE;
      case 0x8 -> CANCELLED;
      case 0xb -> RESOURCE_EXHAUSTED;
      case 0xc -> PERMISSION_DENIED;
      default -> INTERNAL;
    };
  }

  /**
   * Returns the outcome of an attempt that was answered with a status.
   *
   * @param status null for trailers without a status, which do not count as an answer
   * @param neverRan whether the server states that it did not begin the call
   */
  public static Outcome outcome(Status status, boolean neverRan) {
    if (status == null) {
      return Outcome.ERROR;
    }
    return status == UNAVAILABLE && neverRan ? Outcome.REFUSED : status.outcome;
  }
}
