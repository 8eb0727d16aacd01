package heathswitch.proxy.dispatch;

import heathswitch.proxy.runtime.Log;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

/**
 * Logs each retry, stall, refusal and failure with the request's id, the reason and the outcomes of
 * the attempts so far. Used on the event loop.
 */
final class RequestLog {
  private static final String RETRIED = "retry";
  private static final String REFUSED = "refused";
  private static final String FAILED = "failed";
  private static final String STALLED = "answer stalled";

  /** A client-supplied id may be as long as a header can be. */
  private static final int MAX_NAME_CHARS = 64;

  private RequestLog() {}

  /** Logs an attempt unless it is the request's first. */
  static void logRetry(LiveRequest request, long nowNanos) {
    if (request.attempts.size() > 1) {
      Log.info(RETRIED, () -> format(request, nowNanos));
    }
  }

  /** Logs that the answer to an attempt has paused while it arrived. */
  static void logStall(LiveRequest request, long nowNanos) {
    Log.info(STALLED, () -> format(request, nowNanos));
  }

  static void logRefusal(LiveRequest request, long nowNanos) {
    Log.info(REFUSED, () -> format(request, nowNanos));
  }

  static void logFailure(LiveRequest request, long nowNanos) {
    Log.info(FAILED, () -> format(request, nowNanos));
  }

  private static String format(LiveRequest request, long nowNanos) {
    String attempts =
        request.attempts.stream().map(RequestLog::formatAttempt).collect(Collectors.joining(", "));
    return request.name.substring(0, Math.min(MAX_NAME_CHARS, request.name.length()))
        + " ("
        + request.requestClass.name()
        + ") after "
        + TimeUnit.NANOSECONDS.toMillis(nowNanos - request.arrivedNanos)
        + " ms, left "
        + TimeUnit.NANOSECONDS.toMillis(request.deadlineNanos - nowNanos)
        + " ms"
        + (request.giveUpReason == null ? "" : ", " + request.giveUpReason)
        + "; attempts ["
        + attempts
        + "]";
  }

  private static String formatAttempt(LiveRequest.DispatchedAttempt attempt) {
    String state =
        attempt.outcome != null
            ? attempt.outcome.toString()
            : attempt.streaming ? "streaming" : attempt.stalled ? "stalled" : "in flight";
    return attempt.upstream().name + " " + state;
  }
}
