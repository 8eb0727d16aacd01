package heathswitch.proxy.http1;

import heathswitch.policy.api.RequestClass;
import heathswitch.proxy.dispatch.Dispatcher;
import io.netty.handler.codec.http.HttpRequest;
import java.util.List;

/**
 * The result of validating the head of a request against the current settings.
 *
 * @param requestClass the class of the request, or null if the head is invalid
 * @param timeoutNanos how long the client waits for the answer
 * @param error why the head is invalid, or null if it is valid
 */
record RequestHead(RequestClass requestClass, long timeoutNanos, String error) {
  private static final int MAX_ID_LENGTH = 128;

  /**
   * Validates a head.
   *
   * @param forbidden name of a header that clients must not send, or null
   */
  static RequestHead read(HttpRequest head, Dispatcher dispatcher, String forbidden) {
    String framingError = HeaderRules.framingError(head);
    if (framingError != null) {
      return invalid(framingError);
    }
    if (forbidden != null && head.headers().contains(forbidden)) {
      return invalid(forbidden + " is not for clients");
    }
    List<String> ids = head.headers().getAll(HeaderRules.REQUEST_ID);
    if (ids.size() != 1 || !HeaderRules.isVisibleAscii(ids.get(0), MAX_ID_LENGTH)) {
      return invalid("one readable " + HeaderRules.REQUEST_ID + " expected");
    }
    if (dispatcher.isIdUsed(ids.get(0))) {
      return invalid(duplicateIdError());
    }
    RequestClass requestClass = dispatcher.requestClass(head.headers().get(HeaderRules.CLASS));
    return requestClass == null
        ? invalid("unknown " + HeaderRules.CLASS)
        : read(head, requestClass);
  }

  private static RequestHead read(HttpRequest head, RequestClass requestClass) {
    String deadline = head.headers().get(HeaderRules.DEADLINE);
    long timeoutNanos =
        deadline == null ? requestClass.deadlineNanos() : HeaderRules.parseSeconds(deadline.trim());
    if (timeoutNanos < 0) {
      return invalid("malformed " + HeaderRules.DEADLINE);
    }
    boolean hasKey = head.headers().contains(HeaderRules.IDEMPOTENCY_KEY);
    if (!HeaderRules.methodMatchesClass(requestClass, head.method(), hasKey)) {
      return invalid("method or key does not fit class " + requestClass.name());
    }
    // The class limits the time that a client may wait and that its request occupies resources.
    return new RequestHead(
        requestClass, Math.min(timeoutNanos, requestClass.deadlineNanos()), null);
  }

  static String duplicateIdError() {
    return HeaderRules.REQUEST_ID + " of another request";
  }

  private static RequestHead invalid(String error) {
    return new RequestHead(null, 0, error);
  }
}
