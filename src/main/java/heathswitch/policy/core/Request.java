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

    /** Whether its first byte has been written, and when, as far as the host has told. */
    boolean begun;

    long begunNanos;

    /** Whether its last byte has been written, as far as the host has told. */
    boolean written;

    Attempt(Request request, Server server, int number, long sentNanos, long overdueNanos) {
      this.request = request;
      this.server = server;
      this.number = number;
      this.sentNanos = sentNanos;
      this.overdueNanos = overdueNanos;
    }

    /** Whether the request may run, or have run, by this attempt. */
    boolean mayTakeEffect() {
      return open || mayHaveRun;
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
    for (int i = 0; i < attemptCount; i++) {
      if (attempts[i].mayTakeEffect()) {
        return attempts[i];
      }
    }
    return null;
  }

  /** Whether the class allows another attempt at this server now. */
  boolean maySendTo(Server server, long nowNanos) {
    Attempt binding = isSafe() ? null : bindingAttempt();
    return supportsProtocolOf(server)
        && (binding == null || mayRepeat(binding.server, binding.sentNanos, server, nowNanos));
  }

  /**
   * Whether the class allows this attempt to be written now. It is bound by the attempts that were
   * decided on before it, and by those decided on later that have been written first.
   */
  boolean mayBegin(Attempt attempt, long nowNanos) {
    for (int i = 0; i < attemptCount && !isSafe(); i++) {
      Attempt other = attempts[i];
      boolean earlier = i < attempt.number;
      boolean overtook = i > attempt.number && other.begun;
      long sinceNanos = overtook ? other.begunNanos : other.sentNanos;
      if ((earlier || overtook)
          && other.mayTakeEffect()
          && !mayRepeat(other.server, sinceNanos, attempt.server, nowNanos)) {
        return false;
      }
    }
    return supportsProtocolOf(attempt.server);
  }

  /** Whether another attempt has been written whole, and its deduplication window is over. */
  boolean isTooLateToComplete(Attempt attempt, long nowNanos) {
    for (int i = 0; i < attemptCount; i++) {
      Attempt other = attempts[i];
      if (other != attempt
          && other.written
          && other.mayTakeEffect()
          && nowNanos - other.begunNanos >= requestClass.dedupWindowNanos()) {
        return true;
      }
    }
    return false;
  }

  boolean isKeyed() {
    return requestClass.effect() == RequestClass.Effect.KEYED;
  }

  private boolean isSafe() {
    return requestClass.effect() == RequestClass.Effect.SAFE;
  }

  private boolean supportsProtocolOf(Server server) {
    return (server.protocols & protocol.protocolBit()) != 0;
  }

  /** Whether what a server may have run since then may be repeated at another one. */
  private boolean mayRepeat(Server first, long sinceNanos, Server other, long nowNanos) {
    return isKeyed()
        && nowNanos - sinceNanos < requestClass.dedupWindowNanos()
        && inDedupGroup(first, other);
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
    return isSafe()
        || (isKeyed() && requestClass.group() == RequestClass.Group.ALL)
        || bindingAttempt() == null;
  }
}
