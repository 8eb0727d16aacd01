package heathswitch.policy.core;

import heathswitch.policy.api.Actions;
import heathswitch.policy.api.Health;
import heathswitch.policy.api.ListUpdate;
import heathswitch.policy.api.Outcome;
import heathswitch.policy.api.RequestClass;
import heathswitch.policy.api.RequestProtocol;
import heathswitch.policy.api.ServerEntry;
import heathswitch.policy.api.Settings;
import heathswitch.policy.api.UnservedReason;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * One balancer: a method for each event, each with the clock's reading, and decisions sent out
 * through {@link Actions}. Single-threaded by contract; instances share nothing; the same events
 * and seed give the same actions.
 */
public final class Balancer {
  /** A call is overdue, and may get a second copy, at this multiple of its class's delay. */
  static final double OVERDUE_MULTIPLE = 4;

  /** Weight of one result in the class's present delay. */
  static final double MIN_CLASS_SAMPLE_WEIGHT = 0.02;

  /** Second copies and tries after a possible run, as a part of the requests. */
  static final double RETRY_BUDGET_SHARE = 0.1;

  static final double RETRY_BUDGET_BURST = 5;

  /** Weight of one result in the fleet's present slowness. */
  static final double FLEET_SAMPLE_WEIGHT = 0.1;

  /** Part of its time for which a roomless call of a deeper tier waits. */
  static final double QUEUE_TIME_SHARE = 0.3;

  /** A server is judged faulty when its share of errors passes its peers' by this much. */
  static final double ERROR_MARGIN = 0.3;

  /** Own calls by which a near server may lead a far one. */
  static final int FAR_HANDICAP_CALLS = 2;

  static final long SEND_RATE_DECAY_NANOS = 2_000_000_000L;

  /** A clock may round a timer down; taken for an old one, its calls would stay unanswered. */
  static final long TIMER_SLACK_NANOS = 1_000_000L;

  private static final long SWEEP_TIMER = 1;
  static final long SUBSCRIBE_TIMER = 2;

  private final Actions actions;
  private final SplittableRandom random;
  private final Membership membership;
  private ActiveSettings settings;
  private final Map<Long, Request> requests = new HashMap<>();
  private final EntryWindow entryWindow = new EntryWindow();
  private final ArrayDeque<Request> queue = new ArrayDeque<>();
  private final ArrayDeque<Request.Attempt> hedgeCandidates = new ArrayDeque<>();
  private long sweepDueNanos = Long.MAX_VALUE;
  private double retryTokens = RETRY_BUDGET_BURST;
  private double fleetErrorRate;
  private double fleetSlowness = 1;
  private double decayedSends;
  private long decayedSendsNanos;

  /** Creates an instance that knows nothing yet; {@link #start} must follow. */
  public Balancer(Settings settings, long seed, Actions actions) {
    this.actions = actions;
    this.random = new SplittableRandom(seed);
    this.membership = new Membership(settings, actions, random);
    this.settings = new ActiveSettings(settings, null);
  }

  /** Other settings for the requests that come from now on; those that are here keep their own. */
  public void reload(Settings newSettings) {
    settings = new ActiveSettings(newSettings, settings);
    membership.settings = newSettings;
  }

  /** The instance starts. */
  public void start(long nowNanos) {
    decayedSendsNanos = nowNanos;
    membership.start(nowNanos);
  }

  /**
   * Has a list hold for a limited time only unless it is confirmed: a change counts as told so long
   * after discovery had it and could be reached.
   */
  public void limitListAge(long nowNanos, long deliveryNanos) {
    membership.limitListAge(nowNanos, deliveryNanos);
  }

  /** Discovery has said that the list is current, after all news of it. */
  public void onListConfirmed(long nowNanos) {
    membership.onListConfirmed(nowNanos);
    serveQueue(nowNanos);
  }

  /** Discovery is to be asked at another address from now on. */
  public void onDiscoveryMoved(long nowNanos) {
    membership.onDiscoveryMoved(nowNanos);
  }

  /** Discovery has news. */
  public void onListUpdate(long nowNanos, ListUpdate update, List<ServerEntry> entries) {
    membership.onListUpdate(nowNanos, update, entries);
    serveQueue(nowNanos);
  }

  /** A client's request has arrived. */
  public void onRequest(
      long nowNanos,
      long id,
      String className,
      String tenant,
      long ttlNanos,
      boolean repeat,
      RequestProtocol protocol) {
    Request request = new Request(id, settings, className, protocol, nowNanos, ttlNanos);
    requests.put(id, request);
    retryTokens = Math.min(RETRY_BUDGET_BURST, retryTokens + RETRY_BUDGET_SHARE);
    entryWindow.onStart(nowNanos, request);
    if (settings.declared.tier() == 0
        && !admit(request, settings.tenantIndexOf(tenant), nowNanos)) {
      failUnserved(request, nowNanos, UnservedReason.NOT_ADMITTED);
    } else if (!trySend(request, nowNanos)) {
      queueOrReject(request, nowNanos);
    }
  }

  private boolean admit(Request request, int tenant, long nowNanos) {
    if (!entryWindow.hasRoom(settings.relativeWorth(request.classIndex, tenant, nowNanos))) {
      return false;
    }
    settings.takeQuotaToken(tenant);
    return true;
  }

  /** An answer has begun, so long after its server had the request; its deadline no longer runs. */
  public void onAnswerBegun(long nowNanos, long id, int number, long tookNanos) {
    Request.Attempt attempt = openAttempt(id, number);
    if (attempt != null && !attempt.request.finished) {
      attempt.request.finished = true;
      entryWindow.onEnd(nowNanos, attempt.request, true);
      attempt.server.onAnswerBegun(attempt);
      recordSuccess(nowNanos, attempt, tookNanos);
    }
  }

  private Request.Attempt openAttempt(long id, int number) {
    Request request = requests.get(id);
    boolean exists = request != null && number >= 0 && number < request.attemptCount;
    return exists && request.attempts[number].open ? request.attempts[number] : null;
  }

  /** Whether an attempt that was decided a while ago may still begin, on a new connection say. */
  public boolean mayBegin(long nowNanos, long id, int number) {
    Request.Attempt attempt = openAttempt(id, number);
    return attempt != null
        && !attempt.request.finished
        && membership.trust(nowNanos) != ListTrust.NONE
        && membership.allowedByList(attempt.server, nowNanos)
        && attempt.server.health == Health.READY
        && attempt.request.maySend(number, attempt.server, nowNanos);
  }

  /** An attempt has ended. */
  public void onOutcome(
      long nowNanos, long id, int number, Outcome outcome, long tookNanos, boolean terminal) {
    Request.Attempt attempt = openAttempt(id, number);
    if (attempt == null) {
      return;
    }
    Request request = attempt.request;
    attempt.open = false;
    request.openAttempts--;
    attempt.server.onEnd(attempt);
    attempt.mayHaveRun = !outcome.neverRan();
    recordOutcome(nowNanos, attempt, outcome, tookNanos);
    if (terminal && !request.finished) {
      finish(request, nowNanos);
    } else if (outcome == Outcome.BAD_REQUEST && !request.finished) {
      actions.fail(request.id); // Sent elsewhere it would cost as much again and fare no better.
      finish(request, nowNanos);
    } else if (!request.finished) {
      retryOrFail(request, nowNanos);
    }
    removeIfDone(request);
    serveQueue(nowNanos);
  }

  /** The client has gone, or its request is over in some other way. */
  public void onClientGone(long nowNanos, long id) {
    Request request = requests.get(id);
    if (request != null && !request.finished) {
      finish(request, nowNanos);
      removeIfDone(request);
    }
  }

  /** A timer has come due. */
  public void onTimer(long nowNanos, long token) {
    if (token == SUBSCRIBE_TIMER) {
      membership.onSubscribeTimer(nowNanos);
    } else if (token == SWEEP_TIMER) {
      sweep(nowNanos);
    }
  }

  private void finish(Request request, long nowNanos) {
    request.finished = true;
    entryWindow.onEnd(nowNanos, request, request.attemptCount > 0);
    request.queued = false;
    int cancellable = request.settings.limits.mayCancel() ? request.attemptCount : 0;
    for (int i = 0; i < cancellable; i++) {
      if (request.attempts[i].open) {
        actions.cancel(request.id, i);
      }
    }
  }

  private void removeIfDone(Request request) {
    if (request.finished && request.openAttempts == 0) {
      requests.remove(request.id);
    }
  }

  // ---- sending ----

  private boolean trySend(Request request, long nowNanos) {
    if (request.attemptCount >= request.settings.limits.maxAttempts()
        || nowNanos >= request.deadlineNanos
        || membership.trust(nowNanos) == ListTrust.NONE) {
      return false;
    }
    Server server = choose(request, nowNanos);
    if (server == null) {
      return false;
    }
    send(request, server, nowNanos);
    return true;
  }

  private Server choose(Request request, long nowNanos) {
    Server server = membership.nextCold(request, nowNanos, ratePerSecond(nowNanos));
    if (server != null) {
      server.coldTokens -= 1;
      return server;
    }
    server = membership.near.choose(request, nowNanos);
    Server far = membership.far.choose(request, nowNanos);
    if (far != null && (server == null || server.inFlight > far.inFlight + FAR_HANDICAP_CALLS)) {
      server = far;
    }
    boolean trySpare = server == null;
    if (membership.spare.poolSize() > 0 && fleetErrorRate > ERROR_MARGIN) {
      // Its own may all fail, and only others' tell whether that is theirs or strikes all alike.
      trySpare |= random.nextDouble() < fleetErrorRate;
    }
    Server spare = trySpare ? membership.spare.choose(request, nowNanos) : null;
    server = spare != null ? spare : server;
    server = server != null ? server : membership.near.anyReady(request, nowNanos);
    return server != null ? server : membership.far.anyReady(request, nowNanos);
  }

  private void send(Request request, Server server, long nowNanos) {
    long overdueNanos = nowNanos + (long) (OVERDUE_MULTIPLE * request.expectedDelayNanos());
    Request.Attempt attempt =
        new Request.Attempt(request, server, request.attemptCount, nowNanos, overdueNanos);
    request.add(attempt);
    request.queued = false;
    server.onSend(attempt);
    membership.setOf(server).onSend(server);
    decaySends(nowNanos);
    decayedSends += 1;
    actions.send(request.id, server.id, 0);
    if (request.settings.limits.mayHedge()
        && request.requestClass.effect() != RequestClass.Effect.UNSAFE
        && request.protocol.hedgeable()
        && request.attemptCount < request.settings.limits.maxAttempts()) {
      hedgeCandidates.add(attempt);
      scheduleSweep(nowNanos, attempt.overdueNanos);
    }
  }

  private double ratePerSecond(long nowNanos) {
    decaySends(nowNanos);
    return decayedSends * 1e9 / SEND_RATE_DECAY_NANOS;
  }

  private void decaySends(long nowNanos) {
    if (nowNanos > decayedSendsNanos) {
      decayedSends *= Math.exp(-(double) (nowNanos - decayedSendsNanos) / SEND_RATE_DECAY_NANOS);
      decayedSendsNanos = nowNanos;
    }
  }

  // ---- no room, failures, waiting ----

  /**
   * Refused at once at the top; deeper, where callers would see an error, after a short wait. So is
   * all that comes while the list may not be acted on: it is likely to be confirmed in a moment.
   */
  private void queueOrReject(Request request, long nowNanos) {
    // A call that comes with no time left would be answered too late by any timer.
    long leftNanos = request.deadlineNanos - nowNanos;
    if ((request.settings.declared.tier() == 0 && !membership.noneAllowedByList(nowNanos))
        || leftNanos <= request.settings.declared.obligations().answerGraceNanos()) {
      failUnserved(request, nowNanos, noRoomReason(nowNanos));
      return;
    }
    request.queued = true;
    request.queuedUntilNanos = nowNanos + (long) (QUEUE_TIME_SHARE * leftNanos);
    queue.add(request);
    scheduleSweep(nowNanos, request.queuedUntilNanos);
  }

  private UnservedReason noRoomReason(long nowNanos) {
    return membership.noneAllowedByList(nowNanos)
        ? UnservedReason.LIST_NOT_CURRENT
        : UnservedReason.NO_ROOM;
  }

  private void failUnserved(Request request, long nowNanos, UnservedReason reason) {
    actions.reportUnserved(request.id, reason);
    if (request.mayAdviseRetry()) {
      actions.refuse(
          request.id, Math.min(request.settings.limits.maxRetryAfterNanos(), 500_000_000L));
    } else {
      actions.fail(request.id);
    }
    finish(request, nowNanos);
    removeIfDone(request);
  }

  /** An attempt has failed and the request is not over. */
  private void retryOrFail(Request request, long nowNanos) {
    if (request.openAttempts > 0 || request.queued) {
      return;
    }
    boolean mayHaveRun = request.bindingAttempt() != null;
    long leftNanos = request.deadlineNanos - nowNanos;
    boolean noRetry = leftNanos < request.expectedDelayNanos() || (mayHaveRun && retryTokens < 1);
    if (!noRetry && trySend(request, nowNanos)) {
      retryTokens -= mayHaveRun ? 1 : 0;
    } else if (noRetry
        || mayHaveRun
        || request.attemptCount >= request.settings.limits.maxAttempts()) {
      failUnserved(request, nowNanos, UnservedReason.NO_FURTHER_ATTEMPT);
    } else {
      queueOrReject(request, nowNanos);
    }
  }

  private void serveQueue(long nowNanos) {
    while (!queue.isEmpty()) {
      Request head = queue.peek();
      if (!head.finished && head.queued && !trySend(head, nowNanos)) {
        return;
      }
      queue.poll();
    }
  }

  private void scheduleSweep(long nowNanos, long dueNanos) {
    if (dueNanos < sweepDueNanos) {
      sweepDueNanos = dueNanos;
      actions.setTimer(Math.max(1_000_000L, dueNanos - nowNanos), SWEEP_TIMER);
    }
  }

  /** Looks at overdue calls and at calls that have waited long enough; one timer serves all. */
  private void sweep(long nowNanos) {
    if (nowNanos < sweepDueNanos - TIMER_SLACK_NANOS) {
      return; // A timer whose work was done by an earlier one.
    }
    sweepDueNanos = Long.MAX_VALUE;
    queue.removeIf(request -> expireQueued(request, nowNanos));
    long nextNanos = Long.MAX_VALUE;
    for (Request request : queue) { // Calls carry their caller's time: not in order of arrival.
      nextNanos = Math.min(nextNanos, request.queuedUntilNanos);
    }
    while (!hedgeCandidates.isEmpty()) {
      Request.Attempt attempt = hedgeCandidates.peek();
      if (attempt.open && !attempt.request.finished) {
        if (attempt.overdueNanos > nowNanos) {
          nextNanos = Math.min(nextNanos, attempt.overdueNanos);
          break;
        }
        hedge(attempt.request, nowNanos);
      }
      hedgeCandidates.poll();
    }
    scheduleSweep(nowNanos, nextNanos);
  }

  private boolean expireQueued(Request request, long nowNanos) {
    if (request.queued && request.queuedUntilNanos <= nowNanos) {
      failUnserved(
          request,
          nowNanos,
          membership.noneAllowedByList(nowNanos)
              ? UnservedReason.LIST_NOT_CURRENT
              : UnservedReason.WAITED_IN_VAIN);
    }
    return !request.queued;
  }

  /** A second copy of an overdue call, where its class allows one and the budget lasts. */
  private void hedge(Request request, long nowNanos) {
    if (retryTokens >= 1
        && request.openAttempts == 1
        && request.deadlineNanos - nowNanos > request.expectedDelayNanos()
        && trySend(request, nowNanos)) {
      retryTokens -= 1;
    }
  }

  /** The module's own view in a line, to be held against what the sockets show. */
  public String summary(long nowNanos) {
    return String.format(
        "entry %s, retries left %.0f, level %.2f, errors %.2f, waiting %d, requests %d; %s",
        entryWindow,
        retryTokens,
        fleetSlowness,
        fleetErrorRate,
        queue.size(),
        requests.size(),
        membership.summary(nowNanos));
  }

  /** Calls in flight, window, 1 if it rests or has rested twice unanswered; null if not known. */
  public int[] load(long nowNanos, long serverId) {
    Server server = membership.servers.get(serverId);
    boolean unhealthy =
        server != null
            && (server.ejected(nowNanos)
                || server.unresponsive(nowNanos)
                || server.consecutiveEjections > 1);
    return server == null
        ? null
        : new int[] {server.inFlight, server.window.size(), unhealthy ? 1 : 0};
  }

  // ---- judging servers ----

  private void recordOutcome(
      long nowNanos, Request.Attempt attempt, Outcome outcome, long tookNanos) {
    if (attempt.answerBegun && outcome == Outcome.OK) {
      return; // Told when it began; since then it has gone on at its caller's pace.
    }
    switch (outcome) {
      case OK -> recordSuccess(nowNanos, attempt, tookNanos);
      // A dying server fails all its calls at once; single resets, late connections may strike all.
      case ERROR, RESET, CONNECT_FAILED -> recordError(nowNanos, attempt, outcome);
      case REFUSED -> eject(nowNanos, attempt);
      case TIMEOUT -> {
        if (attempt.server.lastResponseNanos < attempt.sentNanos) {
          eject(nowNanos, attempt);
        }
      }
      default -> {}
    }
  }

  private void recordSuccess(long nowNanos, Request.Attempt attempt, long tookNanos) {
    Server server = attempt.server;
    server.lastResponseNanos = nowNanos;
    server.lastServedSentNanos = Math.max(server.lastServedSentNanos, attempt.sentNanos);
    server.consecutiveEjections = 0;
    updateErrorRates(server, 0);
    ActiveSettings settings = attempt.request.settings;
    int classIndex = attempt.request.classIndex;
    double classRelativeDelay = tookNanos / settings.classDelayNanos[classIndex];
    double fleetRelativeDelay = classRelativeDelay / fleetSlowness;
    // What slows every server alike must not close them: a server is judged against its peers.
    fleetSlowness +=
        FLEET_SAMPLE_WEIGHT
            * (Math.min(classRelativeDelay, DelayWindow.MAX_SAMPLE) - fleetSlowness);
    double weight = Math.max(MIN_CLASS_SAMPLE_WEIGHT, 1.0 / ++settings.classSamples[classIndex]);
    double maxSampleNanos =
        settings.classSamples[classIndex] < 10
            ? tookNanos
            : 5 * settings.classDelayNanos[classIndex];
    settings.classDelayNanos[classIndex] +=
        weight * (Math.min(tookNanos, maxSampleNanos) - settings.classDelayNanos[classIndex]);
    if (membership.isCold(server, nowNanos)) {
      return; // A cold server's delays are no measure of its normal ones.
    }
    int inFlight = server.inFlight + (attempt.open ? 0 : 1);
    if (server.window.onCompletion(nowNanos, attempt.sentNanos, fleetRelativeDelay, inFlight)) {
      server.eject(nowNanos, random.nextDouble());
      membership.setOf(server).leave(server);
    }
  }

  private void recordError(long nowNanos, Request.Attempt attempt, Outcome outcome) {
    Server server = attempt.server;
    server.lastResponseNanos =
        outcome == Outcome.CONNECT_FAILED ? server.lastResponseNanos : nowNanos;
    updateErrorRates(server, 1);
    // At upper tiers an error may come from the tier below and then strikes all servers alike.
    if (server.errorRate > fleetErrorRate + ERROR_MARGIN) {
      eject(nowNanos, attempt);
      server.errorRate /= 2;
    }
  }

  private void updateErrorRates(Server server, double sample) {
    server.errorRate += Server.ERROR_SAMPLE_WEIGHT * (sample - server.errorRate);
    fleetErrorRate += MIN_CLASS_SAMPLE_WEIGHT * (sample - fleetErrorRate);
  }

  /** Takes a server out for a while, once a flight: the calls of a flight fail together. */
  private void eject(long nowNanos, Request.Attempt attempt) {
    Server server = attempt.server;
    if (server.window.cutSince(attempt.sentNanos)) {
      return;
    }
    server.window.cut(nowNanos);
    server.eject(nowNanos, random.nextDouble());
    membership.setOf(server).leave(server);
  }
}
