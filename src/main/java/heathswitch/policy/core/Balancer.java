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
 * The load-balancing policy of one balancer. The host calls one method per event, always with the
 * current clock reading; decisions are returned through {@link Actions}. Not thread-safe. Instances
 * share no state, and the same events with the same seed produce the same actions.
 */
public final class Balancer {
  /** An attempt is overdue, and may be hedged, after this multiple of its class's mean delay. */
  static final double OVERDUE_MULTIPLE = 4;

  /**
   * Smallest weight of one sample in a class's mean delay (a class with fewer samples weighs each
   * more), and the weight of one sample in the fleet's error rate.
   */
  static final double MIN_SAMPLE_WEIGHT = 0.02;

  /**
   * Retry budget earned by each request. It pays for hedges and for retries of requests that may
   * already have run.
   */
  static final double RETRY_BUDGET_SHARE = 0.1;

  /** Largest retry budget that can be saved up. */
  static final double RETRY_BUDGET_BURST = 5;

  /** Weight of one sample in the fleet's slowness. */
  static final double FLEET_SAMPLE_WEIGHT = 0.1;

  /** Share of its remaining time that a request waits in the queue where no server has room. */
  static final double QUEUE_TIME_SHARE = 0.3;

  /** A server is ejected when its error rate exceeds that of the fleet by more than this. */
  static final double ERROR_MARGIN = 0.3;

  /**
   * A far server is chosen once the near one has more than this many calls of this balancer beyond
   * those of the far one.
   */
  static final int FAR_HANDICAP_CALLS = 2;

  /** Time constant of the decaying average of the send rate. */
  static final long SEND_RATE_DECAY_NANOS = 2_000_000_000L;

  /**
   * A timer may fire this much early, since the host's clock may round down. Taken for an outdated
   * timer it would be dropped, and the requests that it was set for would never be answered.
   */
  static final long TIMER_SLACK_NANOS = 1_000_000L;

  /** Timer token: check for overdue attempts and for requests whose time in the queue is over. */
  private static final long SWEEP_TIMER = 1;

  /** Timer token: call discovery if there is no subscription. */
  static final long SUBSCRIBE_TIMER = 2;

  /** Timer tokens from here on, one for each request: end of a deduplication window. */
  private static final long FIRST_WINDOW_TIMER = 1000;

  private final Actions actions;
  private final SplittableRandom random;
  private final Membership membership;
  private ActiveSettings settings;
  private final Map<Long, Request> requests = new HashMap<>();
  private final EntryWindow entryWindow = new EntryWindow();

  /** Requests that wait for a server with room. */
  private final ArrayDeque<Request> queue = new ArrayDeque<>();

  /** Attempts that may be hedged once they are overdue, oldest first. */
  private final ArrayDeque<Request.Attempt> hedgeCandidates = new ArrayDeque<>();

  /** When the next sweep is due; Long.MAX_VALUE for none. */
  private long sweepDueNanos = Long.MAX_VALUE;

  private double retryTokens = RETRY_BUDGET_BURST;
  private double fleetErrorRate;

  /** Delays of the fleet at present, as a multiple of the mean delays of the classes. */
  private double fleetSlowness = 1;

  /** Attempts sent, decaying with {@link #SEND_RATE_DECAY_NANOS}, as of decayedSendsNanos. */
  private double decayedSends;

  private long decayedSendsNanos;

  /** Creates a balancer with no servers; {@link #start} must be called next. */
  public Balancer(Settings settings, long seed, Actions actions) {
    this.actions = actions;
    this.random = new SplittableRandom(seed);
    this.membership = new Membership(settings, actions, random);
    this.settings = new ActiveSettings(settings, null);
  }

  /** Applies new settings to requests that arrive from now on; earlier requests keep theirs. */
  public void reload(Settings newSettings) {
    settings = new ActiveSettings(newSettings, settings);
    membership.settings = newSettings;
  }

  /** Starts the balancer. */
  public void start(long nowNanos) {
    decayedSendsNanos = nowNanos;
    membership.start(nowNanos);
  }

  /**
   * Limits how long a list that is not confirmed may be used. Without this call a list is valid
   * until the next one arrives.
   *
   * @param deliveryNanos how long after a change the balancer counts as informed of it, if
   *     discovery knew of the change and could be reached all that time
   */
  public void limitListAge(long nowNanos, long deliveryNanos) {
    membership.limitListAge(nowNanos, deliveryNanos);
  }

  /** Discovery has confirmed that the list is current; all earlier updates have been applied. */
  public void onListConfirmed(long nowNanos) {
    membership.onListConfirmed(nowNanos);
    serveQueue(nowNanos);
  }

  /** The address of discovery has changed. */
  public void onDiscoveryMoved(long nowNanos) {
    membership.onDiscoveryMoved(nowNanos);
  }

  /** Discovery has sent an update of the list, or a call to it has failed. */
  public void onListUpdate(long nowNanos, ListUpdate update, List<ServerEntry> entries) {
    membership.onListUpdate(nowNanos, update, entries);
    serveQueue(nowNanos);
  }

  /**
   * A request has arrived from a client.
   *
   * @param ttlNanos time until its deadline
   */
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

  /** Admission control: whether the entry window has room for a request of this worth. */
  private boolean admit(Request request, int tenant, long nowNanos) {
    if (!entryWindow.hasRoom(settings.relativeWorth(request.classIndex, tenant, nowNanos))) {
      return false;
    }
    settings.takeQuotaToken(tenant);
    return true;
  }

  /**
   * The answer to an attempt has begun; the deadline of the request no longer applies.
   *
   * @param tookNanos time from sending the attempt to the beginning of its answer
   */
  public void onAnswerBegun(long nowNanos, long id, int number, long tookNanos) {
    Request.Attempt attempt = openAttempt(id, number);
    if (attempt != null && !attempt.request.finished) {
      attempt.request.finished = true;
      entryWindow.onEnd(nowNanos, attempt.request, true);
      attempt.server.onAnswerBegun(attempt);
      if (!attempt.stalled) {
        recordSuccess(nowNanos, attempt, tookNanos);
      }
    }
  }

  /**
   * The answer to an attempt has begun to arrive and has paused since. The server may be slow or
   * the rest may never come, so the attempt stays in flight, and another one is sent beside it
   * where that is allowed. Where it is not, an attempt that can be repeated is replaced, unless its
   * answer may be long.
   *
   * @param mayBeLong whether the whole answer may be longer than what is buffered
   */
  public void onAnswerStalled(long nowNanos, long id, int number, boolean mayBeLong) {
    Request.Attempt attempt = openAttempt(id, number);
    if (attempt == null || attempt.stalled || attempt.request.finished) {
      return;
    }
    Request request = attempt.request;
    attempt.server.onAnswerStalled(attempt);
    recordError(nowNanos, attempt, Outcome.ERROR);
    if (!mayBeLong && mayReplace(request, nowNanos)) {
      actions.cancel(id, number); // Its outcome starts the next attempt.
    } else {
      retryOrFail(request, nowNanos);
    }
    serveQueue(nowNanos);
  }

  /** Whether a request whose attempts may not overlap can have another attempt instead. */
  private boolean mayReplace(Request request, long nowNanos) {
    return !request.settings.limits.mayHedge()
        && request.settings.limits.mayCancel()
        && request.requestClass.effect() != RequestClass.Effect.UNSAFE
        && request.attemptCount < request.settings.limits.maxAttempts()
        && retryTokens >= 1
        && request.deadlineNanos - nowNanos >= request.expectedDelayNanos();
  }

  /** The attempt of this number if it is in flight, else null. */
  private Request.Attempt openAttempt(long id, int number) {
    Request request = requests.get(id);
    boolean exists = request != null && number >= 0 && number < request.attemptCount;
    return exists && request.attempts[number].open ? request.attempts[number] : null;
  }

  /**
   * Whether an attempt that was chosen earlier may still be sent. The host asks again just before
   * it writes the attempt, for example when a new connection has taken time to open.
   */
  public boolean mayBegin(long nowNanos, long id, int number) {
    Request.Attempt attempt = openAttempt(id, number);
    return attempt != null
        && !attempt.request.finished
        && membership.trust(nowNanos) != ListTrust.NONE
        && membership.allowedByList(attempt.server, nowNanos)
        && attempt.server.health == Health.READY
        && attempt.request.mayBegin(attempt, nowNanos);
  }

  /**
   * The first byte of an attempt is about to be written. Attempts may begin in another order than
   * they were decided on, and come whole in yet another one.
   */
  public void onBegun(long nowNanos, long id, int number) {
    Request.Attempt attempt = openAttempt(id, number);
    if (attempt == null) {
      return;
    }
    attempt.begun = true;
    attempt.begunNanos = nowNanos;
    if (attempt.request.isKeyed() && attempt.request.attemptCount > 1) {
      setWindowTimers(nowNanos, attempt.request);
    }
  }

  /** The last byte of an attempt has been written: from now on its server may run the request. */
  public void onWritten(long nowNanos, long id, int number) {
    Request.Attempt attempt = openAttempt(id, number);
    if (attempt != null) {
      attempt.written = true;
    }
  }

  private void setWindowTimers(long nowNanos, Request request) {
    long windowNanos = request.requestClass.dedupWindowNanos();
    for (int i = 0; i < request.attemptCount; i++) {
      Request.Attempt attempt = request.attempts[i];
      long endNanos = attempt.begunNanos + windowNanos;
      if (attempt.begun && attempt.mayTakeEffect() && endNanos > nowNanos) {
        actions.setTimer(endNanos - nowNanos, FIRST_WINDOW_TIMER + request.id);
      }
    }
  }

  /** Cancels the attempts of a request that would come whole after its deduplication window. */
  private void endWindow(long nowNanos, long id) {
    Request request = requests.get(id);
    if (request == null || request.finished) {
      return;
    }
    for (int i = 0; i < request.attemptCount; i++) {
      Request.Attempt attempt = request.attempts[i];
      if (attempt.open
          && attempt.begun
          && !attempt.written
          && request.isTooLateToComplete(attempt, nowNanos + TIMER_SLACK_NANOS)) {
        actions.cancel(id, i);
      }
    }
  }

  /**
   * An attempt has ended.
   *
   * @param terminal whether the request has its final answer with this outcome
   */
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
      actions.fail(request.id); // A retry would cost as much again and give the same result.
      finish(request, nowNanos);
    } else if (!request.finished) {
      retryOrFail(request, nowNanos);
    }
    removeIfDone(request);
    serveQueue(nowNanos);
  }

  /** The client has disconnected, or the host has finished the request in another way. */
  public void onClientGone(long nowNanos, long id) {
    Request request = requests.get(id);
    if (request != null && !request.finished) {
      finish(request, nowNanos);
      removeIfDone(request);
    }
  }

  /** A timer that was set with this token has fired. */
  public void onTimer(long nowNanos, long token) {
    if (token == SUBSCRIBE_TIMER) {
      membership.onSubscribeTimer(nowNanos);
    } else if (token == SWEEP_TIMER) {
      sweep(nowNanos);
    } else if (token >= FIRST_WINDOW_TIMER) {
      endWindow(nowNanos, token - FIRST_WINDOW_TIMER);
    }
  }

  /** Marks a request as answered and cancels its attempts that are still in flight. */
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

  /** Sends an attempt if a server has room for it. */
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

  /**
   * Chooses a server: a cold one within its budget, else the better of the best near and the best
   * far one, else a spare one, else any ready one that has room within its window.
   */
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
      // If all servers of the subset fail, only servers outside it can show whether the fault is
      // theirs or common to all. The more calls fail, the more of them go to spare servers.
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
    if (mayHedge(request)) {
      hedgeCandidates.add(attempt);
      scheduleSweep(nowNanos, attempt.overdueNanos);
    }
  }

  /** Whether another attempt of the request may be sent beside one that is in flight. */
  private static boolean mayHedge(Request request) {
    return request.settings.limits.mayHedge()
        && request.requestClass.effect() != RequestClass.Effect.UNSAFE
        && request.protocol.hedgeable()
        && request.attemptCount < request.settings.limits.maxAttempts();
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

  // ---- queueing, retries, hedging ----

  /**
   * Handles a request for which no server has room. At tier 0 it is refused at once. At deeper
   * tiers, where a refusal would reach the caller as an error, it is queued for a short time. While
   * the list may not be used requests are queued at every tier, since the list is likely to be
   * confirmed soon.
   */
  private void queueOrReject(Request request, long nowNanos) {
    // With no time left a request must be answered now: any timer would fire too late.
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

  /** Answers a request that could not be served. */
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

  /**
   * Retries a request after an attempt has failed or stalled, queues it or answers it with a
   * failure. While a stalled attempt is in flight, its answer is waited for.
   */
  private void retryOrFail(Request request, long nowNanos) {
    if (request.hasProgressingAttempt() || request.queued) {
      return;
    }
    boolean mayHaveRun = request.bindingAttempt() != null;
    boolean stalledInFlight = request.openAttempts > 0;
    long leftNanos = request.deadlineNanos - nowNanos;
    boolean noRetry =
        leftNanos < request.expectedDelayNanos()
            || (mayHaveRun && retryTokens < 1)
            || (stalledInFlight && !mayHedge(request));
    if (!noRetry && trySend(request, nowNanos)) {
      retryTokens -= mayHaveRun ? 1 : 0;
    } else if (stalledInFlight) {
      return;
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

  /** Hedges overdue attempts and expires queued requests; one timer serves all of them. */
  private void sweep(long nowNanos) {
    if (nowNanos < sweepDueNanos - TIMER_SLACK_NANOS) {
      return; // Outdated: an earlier sweep has done the work of this timer.
    }
    sweepDueNanos = Long.MAX_VALUE;
    queue.removeIf(request -> expireQueued(request, nowNanos));
    long nextNanos = Long.MAX_VALUE;
    // Deadlines come from the callers, so the queue is not in the order of its expiry times.
    for (Request request : queue) {
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

  /** Fails a request whose time in the queue is over; true if it is no longer queued. */
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

  /** Sends a hedge of an overdue request if its class and the retry budget allow it. */
  private void hedge(Request request, long nowNanos) {
    if (retryTokens >= 1
        && request.openAttempts == 1
        && request.deadlineNanos - nowNanos > request.expectedDelayNanos()
        && trySend(request, nowNanos)) {
      retryTokens -= 1;
    }
  }

  /** The state of the policy in one line, for comparison with the state of the connections. */
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

  /**
   * Load of one server: calls in flight, window size, and 1 if it is ejected, unresponsive or has
   * been ejected more than once since its last success, else 0. Null for an unknown server.
   */
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

  // ---- server health ----

  private void recordOutcome(
      long nowNanos, Request.Attempt attempt, Outcome outcome, long tookNanos) {
    if (attempt.answerBegun && outcome == Outcome.OK) {
      return; // Recorded when the answer began; since then the client has set the pace.
    }
    if (attempt.stalled) {
      if (outcome == Outcome.OK) {
        recordServed(nowNanos, attempt);
      }
      return; // Its delay is that of the pause, and an error was recorded with the pause.
    }
    switch (outcome) {
      case OK -> recordSuccess(nowNanos, attempt, tookNanos);
      // Single resets and late connections may affect every server; a failing server fails all of
      // its calls at once.
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

  /** Updates what follows from the fact that the server has served an attempt. */
  private void recordServed(long nowNanos, Request.Attempt attempt) {
    Server server = attempt.server;
    server.lastResponseNanos = nowNanos;
    server.lastServedSentNanos = Math.max(server.lastServedSentNanos, attempt.sentNanos);
    server.consecutiveEjections = 0;
    updateErrorRates(server, 0);
  }

  /** Updates the delay estimates, the error rates and the window of the server. */
  private void recordSuccess(long nowNanos, Request.Attempt attempt, long tookNanos) {
    Server server = attempt.server;
    recordServed(nowNanos, attempt);
    ActiveSettings settings = attempt.request.settings;
    int classIndex = attempt.request.classIndex;
    double classRelativeDelay = tookNanos / settings.classDelayNanos[classIndex];
    double fleetRelativeDelay = classRelativeDelay / fleetSlowness;
    // Slowness that affects all servers alike must not cut their windows, so the delay of a server
    // is compared with that of the fleet.
    fleetSlowness +=
        FLEET_SAMPLE_WEIGHT
            * (Math.min(classRelativeDelay, DelayWindow.MAX_SAMPLE) - fleetSlowness);
    double weight = Math.max(MIN_SAMPLE_WEIGHT, 1.0 / ++settings.classSamples[classIndex]);
    double maxSampleNanos =
        settings.classSamples[classIndex] < 10
            ? tookNanos
            : 5 * settings.classDelayNanos[classIndex];
    settings.classDelayNanos[classIndex] +=
        weight * (Math.min(tookNanos, maxSampleNanos) - settings.classDelayNanos[classIndex]);
    if (membership.isCold(server, nowNanos)) {
      return; // The delays of a cold server say nothing about its normal delay.
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
    // An error may come from the tier below; then it affects all servers alike.
    if (server.errorRate > fleetErrorRate + ERROR_MARGIN) {
      eject(nowNanos, attempt);
      server.errorRate /= 2;
    }
  }

  private void updateErrorRates(Server server, double sample) {
    server.errorRate += Server.ERROR_SAMPLE_WEIGHT * (sample - server.errorRate);
    fleetErrorRate += MIN_SAMPLE_WEIGHT * (sample - fleetErrorRate);
  }

  /**
   * Cuts the window of a server and ejects it. Calls that were in flight together fail together, so
   * those sent before the last cut do not eject the server again.
   */
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
