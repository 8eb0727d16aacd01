package heathswitch.policy.core;

import heathswitch.policy.api.RequestClass;
import heathswitch.policy.api.RequestProtocol;

/** A request with its attempts, and the rules of its class on repeating it. */
final class Request {
  /** One attempt, sent to one server. */
  static final class Attempt {
    final Request request;
    final Server server;
    final int number;
    final long sentNanos;
    final long overdueNanos;

    /** Whether the attempt is in flight. */
    boolean open = true;

    boolean answerBegun;

    /** Whether its answer has begun to arrive and then paused; it no longer occupies a slot. */
    boolean stalled;

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

  /** The settings at its arrival; they apply to the request until it ends. */
  final ActiveSettings settings;

  final int classIndex;
  final RequestClass requestClass;
  final RequestProtocol protocol;
  final long arrivedNanos;
  final long deadlineNanos;
  Attempt[] attempts = new Attempt[2];
  int attemptCount;
  int openAttempts;

  /** Whether the request has its final answer, or its answer has begun. */
  boolean finished;

  boolean queued;
  long queuedUntilNanos;

  Request(
      long id,
      ActiveSettings settings,
      String className,
      RequestProtocol protocol,
      long nowNanos,
      long ttlNanos) {
    this.id = id;
    this.settings = settings;
    this.classIndex = settings.classIndexOf(className);
    this.requestClass = settings.requestClass(classIndex);
    this.protocol = protocol;
    this.arrivedNanos = nowNanos;
    this.deadlineNanos = nowNanos + ttlNanos;
  }

  /** Mean delay of its class at present. */
  double expectedDelayNanos() {
    return settings.classDelayNanos[classIndex];
  }

  void add(Attempt attempt) {
    if (attemptCount == attempts.length) {
      attempts = java.util.Arrays.copyOf(attempts, 2 * attemptCount);
    }
    attempts[attemptCount++] = attempt;
    openAttempts++;
  }

  /** Whether an attempt is in flight that has not stalled. */
  boolean hasProgressingAttempt() {
    for (int i = 0; i < attemptCount; i++) {
      if (attempts[i].open && !attempts[i].stalled) {
        return true;
      }
    }
    return false;
  }

  /**
   * The earliest attempt that is in flight or may have run, or null. Later attempts must stay
   * within its deduplication window and group.
   */
  Attempt bindingAttempt() {
    return bindingAttempt(attemptCount);
  }

  /** The same among the first attempts, as many as given. */
  private Attempt bindingAttempt(int count) {
    for (int i = 0; i < count; i++) {
      if (attempts[i].open || attempts[i].mayHaveRun) {
        return attempts[i];
      }
    }
    return null;
  }

  /** Whether the class allows another attempt at this server now. */
  boolean maySendTo(Server server, long nowNanos) {
    return maySend(attemptCount, server, nowNanos);
  }

  /** Whether the class allows the attempt of this number at this server now. */
  boolean maySend(int number, Server server, long nowNanos) {
    Attempt binding =
        requestClass.effect() == RequestClass.Effect.SAFE ? null : bindingAttempt(number);
    boolean protocolSupported = (server.protocols & protocol.protocolBit()) != 0;
    return protocolSupported && (binding == null || mayRepeat(binding, server, nowNanos));
  }

  private boolean mayRepeat(Attempt bound, Server server, long nowNanos) {
    return requestClass.effect() == RequestClass.Effect.KEYED
        && nowNanos - bound.sentNanos < requestClass.dedupWindowNanos()
        && inDedupGroup(bound.server, server);
  }

  private boolean inDedupGroup(Server first, Server other) {
    return switch (requestClass.group()) {
      case ALL -> true;
      case ZONE -> first.zone.equals(other.zone);
      case CELL -> first.cell == other.cell;
    };
  }

  /** Whether the client may be told that a retry is harmless. */
  boolean mayAdviseRetry() {
    return requestClass.effect() == RequestClass.Effect.SAFE
        || (requestClass.effect() == RequestClass.Effect.KEYED
            && requestClass.group() == RequestClass.Group.ALL)
        || bindingAttempt() == null;
  }
}
