package heathswitch.policy.grpc;

import heathswitch.policy.api.Outcome;

/**
 * gRPC's status codes (the protocol's statuscodes page) and what an answer with each of them says
 * of the server: its own work failed, or it answered what it was asked.
 */
public enum Status {
  OK(Outcome.OK),
  /** The application gave the call up, mostly because its caller did. */
  CANCELLED(Outcome.OK),
  /** What libraries answer for an exception that nobody caught. */
  UNKNOWN(Outcome.ERROR),
  INVALID_ARGUMENT(Outcome.OK),
  /** The server ran out of the caller's time. */
  DEADLINE_EXCEEDED(Outcome.ERROR),
  NOT_FOUND(Outcome.OK),
  ALREADY_EXISTS(Outcome.OK),
  PERMISSION_DENIED(Outcome.OK),
  /** May come from the server or from an application's quota; in neither case is it served. */
  RESOURCE_EXHAUSTED(Outcome.ERROR),
  FAILED_PRECONDITION(Outcome.OK),
  ABORTED(Outcome.OK),
  OUT_OF_RANGE(Outcome.OK),
  UNIMPLEMENTED(Outcome.OK),
  INTERNAL(Outcome.ERROR),
  /** Promises nothing about the effect, unless the server says that the call never ran. */
  UNAVAILABLE(Outcome.ERROR),
  DATA_LOSS(Outcome.ERROR),
  UNAUTHENTICATED(Outcome.OK);

  private static final Status[] ALL = values();

  private final Outcome outcome;

  Status(Outcome outcome) {
    this.outcome = outcome;
  }

  /** The code on the wire. */
  public int code() {
    return ordinal();
  }

  /** The status of a trailer's text, or null for one that is none. */
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
   * What an answer over HTTP that brings no status of gRPC comes to (the protocol's page on mapping
   * HTTP statuses): mostly that of a proxy, or of a server that speaks something else.
   *
   * @param code the HTTP status; 200 too, as one that served would have said so
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
   * What a stream that its server reset comes to (the errors of the protocol's page on HTTP/2; the
   * codes are those of RFC 9113, section 7).
   */
  public static Status fromResetCode(long code) {
    return switch ((int) Math.min(Math.max(0, code), 0xff)) {
      case 0x5 -> UNKNOWN; // STREAM_CLOSED has no meaning of its own for a call.
      case 0x7 -> UNAVAILABLE;
      case 0x8 -> CANCELLED;
      case 0xb -> RESOURCE_EXHAUSTED;
      case 0xc -> PERMISSION_DENIED;
      default -> INTERNAL;
    };
  }

  /**
   * How an attempt ended that was answered with a status.
   *
   * @param status null for trailers that bring none, which is no answer at all
   * @param neverRan the server's own word that it did not begin the call
   */
  public static Outcome outcome(Status status, boolean neverRan) {
    if (status == null) {
      return Outcome.ERROR;
    }
    return status == UNAVAILABLE && neverRan ? Outcome.REFUSED : status.outcome;
  }
}
