package meadowtrack.core;

import meadowtrack.api.RequestClass;

/** One request and its attempts. */
final class Request {
  /** One attempt; a link in its server's list of calls in flight, oldest first. */
  static final class Attempt {
    final Request request;
    final Server server;
    final int number;
    final long sentNanos;
    final long overdueNanos;
    Attempt older;
    Attempt newer;
    boolean open = true;
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
  final int classIndex;
  final RequestClass type;
  final int tenantIndex;
  final long arrivedNanos;
  final long deadlineNanos;
  Attempt[] attempts = new Attempt[2];
  int tries;
  int open;
  boolean over;
  boolean waiting;
  long waitUntilNanos;

  Request(
      long id, int classIndex, RequestClass type, int tenantIndex, long nowNanos, long ttlNanos) {
    this.id = id;
    this.classIndex = classIndex;
    this.type = type;
    this.tenantIndex = tenantIndex;
    this.arrivedNanos = nowNanos;
    this.deadlineNanos = nowNanos + ttlNanos;
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
    for (int i = 0; i < tries; i++) {
      if (attempts[i].open || attempts[i].mayHaveRun) {
        return attempts[i];
      }
    }
    return null;
  }

  /** Whether the class's rule lets one more attempt go to this server now. */
  boolean maySendTo(Server server, long nowNanos) {
    if (type.effect() == RequestClass.Effect.SAFE) {
      return true;
    }
    Attempt binding = binding();
    if (binding == null) {
      return true;
    }
    return type.effect() == RequestClass.Effect.KEYED
        && nowNanos - binding.sentNanos < type.windowNanos()
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
