package heathswitch.policy.core;

import heathswitch.policy.api.RequestClass;
import heathswitch.policy.api.RequestProtocol;

/** One request and its attempts. */
final class Request {
  /** One attempt. */
  static final class Attempt {
    final Request request;
    final Server server;
    final int number;
    final long sentNanos;
    final long overdueNanos;
    boolean open = true;
    boolean begun;
    boolean mayHaveRun;

    Attempt(Request request, Server server, int number, long sentNanos, long overdueNanos) {
      this.request = request;
      this.server = server;
      this.number = number;
      this.sentNanos = sentNanos;
      this.overdueNanos = overdueNanos;
    }
  }

  final long id;

  /** The settings that it was taken under, which decide over it to its end. */
  final ActiveSettings rules;

  final int classIndex;
  final RequestClass type;
  final RequestProtocol form;
  final long arrivedNanos;
  final long deadlineNanos;
  Attempt[] attempts = new Attempt[2];
  int tries;
  int open;
  boolean over;
  boolean waiting;
  long waitUntilNanos;

  Request(
      long id, ActiveSettings rules, String type, RequestProtocol form, long nowNanos, long ttl) {
    this.id = id;
    this.rules = rules;
    this.classIndex = rules.classOf(type);
    this.type = rules.type(classIndex);
    this.form = form;
    this.arrivedNanos = nowNanos;
    this.deadlineNanos = nowNanos + ttl;
  }

  /** What its class takes at present. */
  double classDelay() {
    return rules.classDelay[classIndex];
  }

  void add(Attempt attempt) {
    if (tries == attempts.length) {
      attempts = java.util.Arrays.copyOf(attempts, 2 * tries);
    }
    attempts[tries++] = attempt;
    open++;
  }

  /** The earliest attempt that is out or may have run, or null; it binds all that follow. */
  Attempt binding() {
    return binding(tries);
  }

  private Attempt binding(int before) {
    for (int i = 0; i < before; i++) {
      if (attempts[i].open || attempts[i].mayHaveRun) {
        return attempts[i];
      }
    }
    return null;
  }

  /** Whether the class's rule lets one more attempt go to this server now. */
  boolean maySendTo(Server server, long nowNanos) {
    return maySend(tries, server, nowNanos);
  }

  /** The same for the attempt of this number. */
  boolean maySend(int number, Server server, long nowNanos) {
    Attempt binding = type.effect() == RequestClass.Effect.SAFE ? null : binding(number);
    boolean speaks = (server.speaks & form.protocolBit()) != 0;
    return speaks && (binding == null || mayRepeat(binding, server, nowNanos));
  }

  private boolean mayRepeat(Attempt binding, Server server, long nowNanos) {
    return type.effect() == RequestClass.Effect.KEYED
        && nowNanos - binding.sentNanos < type.dedupWindowNanos()
        && inGroup(binding.server, server);
  }

  private boolean inGroup(Server first, Server other) {
    return switch (type.group()) {
      case ALL -> true;
      case ZONE -> first.zone.equals(other.zone);
      case CELL -> first.cell == other.cell;
    };
  }

  /** Whether the class's rule lets the client be told that a retry is harmless. */
  boolean mayRefuse() {
    return type.effect() == RequestClass.Effect.SAFE
        || (type.effect() == RequestClass.Effect.KEYED && type.group() == RequestClass.Group.ALL)
        || binding() == null;
  }
}
