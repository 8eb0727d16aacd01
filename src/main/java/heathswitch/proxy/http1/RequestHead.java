package heathswitch.proxy.http1;

import heathswitch.policy.api.RequestClass;
import heathswitch.proxy.dispatch.Dispatcher;
import io.netty.handler.codec.http.HttpRequest;
import java.util.List;

/**
 * What the head of a request says of how it is to be served, under the settings that hold now.
 *
 * @param type its class, or null where it was not found
 * @param ttlNanos how long its client waits for the answer
 * @param fault what is wrong with it, or null
 */
record RequestHead(RequestClass type, long ttlNanos, String fault) {
  private static final int MOST_ID_LENGTH = 128;

  /**
   * Reads a head.
   *
   * @param forbidden a header that no client may send, or null
   */
  static RequestHead read(HttpRequest head, Dispatcher dispatcher, String forbidden) {
    String framing = HeaderRules.framingError(head);
    if (framing != null) {
      return faulty(framing);
    }
    if (forbidden != null && head.headers().contains(forbidden)) {
      return faulty(forbidden + " is not for clients");
    }
    List<String> ids = head.headers().getAll(HeaderRules.REQUEST_ID);
    if (ids.size() != 1 || !HeaderRules.isVisibleAscii(ids.get(0), MOST_ID_LENGTH)) {
      return faulty("one readable " + HeaderRules.REQUEST_ID + " expected");
    }
    if (dispatcher.isRequestOpen(ids.get(0))) {
      return faulty(openTwice());
    }
    RequestClass type = dispatcher.requestClass(head.headers().get(HeaderRules.CLASS));
    return type == null ? faulty("unknown " + HeaderRules.CLASS) : read(head, type);
  }

  private static RequestHead read(HttpRequest head, RequestClass type) {
    String deadline = head.headers().get(HeaderRules.DEADLINE);
    long ttl = deadline == null ? type.deadlineNanos() : HeaderRules.parseSeconds(deadline.trim());
    if (ttl < 0) {
      return faulty("malformed " + HeaderRules.DEADLINE);
    }
    boolean key = head.headers().contains(HeaderRules.IDEMPOTENCY_KEY);
    if (!HeaderRules.methodMatchesClass(type, head.method(), key)) {
      return faulty("method or key does not fit class " + type.name());
    }
    // No client waits longer than its class allows, and nothing is held for it any longer.
    return new RequestHead(type, Math.min(ttl, type.deadlineNanos()), null);
  }

  static String openTwice() {
    return HeaderRules.REQUEST_ID + " of an open request";
  }

  private static RequestHead faulty(String fault) {
    return new RequestHead(null, 0, fault);
  }
}
