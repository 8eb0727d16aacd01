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
  static final double OVERDUE = 4;

  /** Weight of one result in the class's present delay. */
  static final double CLASS_WEIGHT = 0.02;

  /** Second copies and tries after a possible run, as a part of the requests. */
  static final double RETRY_SHARE = 0.1;

  static final double RETRY_BURST = 5;

  /** Weight of one result in the fleet's present slowness. */
  static final double LEVEL_WEIGHT = 0.1;

  /** Part of its time for which a roomless call of a deeper tier waits. */
  static final double WAIT_SHARE = 0.3;

  /** A server is judged faulty when its share of errors passes its peers' by this much. */
  static final double ERROR_MARGIN = 0.3;

  /** Own calls by which a near server may lead a far one. */
  static final int FAR_CALLS = 2;

  static final long RATE_TAU_NANOS = 2_000_000_000L;

  /** A clock may round a timer down; taken for an old one, its calls would stay unanswered. */
  static final long TIMER_SLACK_NANOS = 1_000_000L;

  private static final long SWEEP = 1;
  static final long ASK = 2;

  private final Actions actions;
  private final SplittableRandom random;
  private final Membership members;
  private ActiveSettings rules;
  private final Map<Long, Request> requests = new HashMap<>();
  private final EntryWindow entry = new EntryWindow();
  private final ArrayDeque<Request> waiting = new ArrayDeque<>();
  private final ArrayDeque<Request.Attempt> watched = new ArrayDeque<>();
  private long sweepDueNanos = Long.MAX_VALUE;
  private double retryTokens = RETRY_BURST;
  private double errorShare;
  private double level = 1;
  private double sendCount;
  private long sendCountNanos;

  /** Creates an instance that knows nothing yet; {@link #start} must follow. */
  public Balancer(Settings settings, long seed, Actions actions) {
    this.actions = actions;
    this.random = new SplittableRandom(seed);
    this.members = new Membership(settings, actions, random);
    this.rules = new ActiveSettings(settings, null);
  }

  /** Other settings for the requests that come from now on; those that are here keep their own. */
  public void reload(Settings settings) {
    rules = new ActiveSettings(settings, rules);
    members.settings = settings;
  }

  /** The instance starts. */
  public void start(long nowNanos) {
    sendCountNanos = nowNanos;
    members.start(nowNanos);
  }

  /**
   * Has a list hold for a limited time only unless it is confirmed: a change counts as told so long
   * after discovery had it and could be reached.
   */
  public void limitListAge(long nowNanos, long toldNanos) {
    members.limitAge(nowNanos, toldNanos);
  }

  /** Discovery has said that the list is current, after all news of it. */
  public void onListConfirmed(long nowNanos) {
    members.confirmed(nowNanos);
    serveWaiting(nowNanos);
  }

  /** Discovery is to be asked at another address from now on. */
  public void onDiscoveryMoved(long nowNanos) {
    members.moved(nowNanos);
  }

  /** Discovery has news. */
  public void onListUpdate(long nowNanos, ListUpdate form, List<ServerEntry> entries) {
    members.onNews(nowNanos, form, entries);
    serveWaiting(nowNanos);
  }

  /** A client's request has arrived. */
  public void onRequest(
      long nowNanos,
      long id,
      String type,
      String tenant,
      long ttl,
      boolean repeat,
      RequestProtocol form) {
    Request request = new Request(id, rules, type, form, nowNanos, ttl);
    requests.put(id, request);
    retryTokens = Math.min(RETRY_BURST, retryTokens + RETRY_SHARE);
    entry.onStart(nowNanos, request);
    if (rules.settings.tier() == 0 && !admitted(request, rules.tenant(tenant), nowNanos)) {
      giveUp(request, nowNanos, UnservedReason.NOT_ADMITTED);
    } else if (!trySend(request, nowNanos)) {
      noRoom(request, nowNanos);
    }
  }

  private boolean admitted(Request request, int tenant, long nowNanos) {
    if (!entry.hasRoom(rules.relative(request.classIndex, tenant, nowNanos))) {
      return false;
    }
    rules.take(tenant);
    return true;
  }

  /** An answer has begun, so long after its server had the request; its deadline no longer runs. */
  public void onAnswerBegun(long nowNanos, long id, int number, long tookNanos) {
    Request.Attempt attempt = open(id, number);
    if (attempt != null && !attempt.request.over) {
      attempt.request.over = true;
      entry.onEnd(nowNanos, attempt.request, true);
      attempt.server.onFirst(attempt);
      served(nowNanos, attempt, tookNanos);
    }
  }

  private Request.Attempt open(long id, int number) {
    Request request = requests.get(id);
    boolean known = request != null && number >= 0 && number < request.tries;
    return known && request.attempts[number].open ? request.attempts[number] : null;
  }

  /** Whether an attempt that was decided a while ago may still begin, on a new connection say. */
  public boolean mayBegin(long nowNanos, long id, int number) {
    Request.Attempt attempt = open(id, number);
    return attempt != null
        && !attempt.request.over
        && members.trust(nowNanos) != ListTrust.NONE
        && members.mayUse(attempt.server, nowNanos)
        && attempt.server.health == Health.READY
        && attempt.request.maySend(number, attempt.server, nowNanos);
  }

  /** An attempt has ended. */
  public void onOutcome(
      long nowNanos, long id, int number, Outcome outcome, long tookNanos, boolean terminal) {
    Request.Attempt attempt = open(id, number);
    if (attempt == null) {
      return;
    }
    Request request = attempt.request;
    attempt.open = false;
    request.open--;
    attempt.server.onEnd(attempt);
    attempt.mayHaveRun = !outcome.neverRan();
    judge(nowNanos, attempt, outcome, tookNanos);
    if (terminal && !request.over) {
      finish(request, nowNanos);
    } else if (outcome == Outcome.BAD_REQUEST && !request.over) {
      actions.fail(request.id); // Sent elsewhere it would cost as much again and fare no better.
      finish(request, nowNanos);
    } else if (!request.over) {
      goOn(request, nowNanos);
    }
    forget(request);
    serveWaiting(nowNanos);
  }

  /** The client has gone, or its request is over in some other way. */
  public void onClientGone(long nowNanos, long id) {
    Request request = requests.get(id);
    if (request != null && !request.over) {
      finish(request, nowNanos);
      forget(request);
    }
  }

  /** A timer has come due. */
  public void onTimer(long nowNanos, long token) {
    if (token == ASK) {
      members.ask(nowNanos);
    } else if (token == SWEEP) {
      sweep(nowNanos);
    }
  }

  private void finish(Request request, long nowNanos) {
    request.over = true;
    entry.onEnd(nowNanos, request, request.tries > 0);
    request.waiting = false;
    int cancellable = request.rules.limits.mayCancel() ? request.tries : 0;
    for (int i = 0; i < cancellable; i++) {
      if (request.attempts[i].open) {
        actions.cancel(request.id, i);
      }
    }
  }

  private void forget(Request request) {
    if (request.over && request.open == 0) {
      requests.remove(request.id);
    }
  }

  // ---- sending ----

  private boolean trySend(Request request, long nowNanos) {
    if (request.tries >= request.rules.limits.maxAttempts()
        || nowNanos >= request.deadlineNanos
        || members.trust(nowNanos) == ListTrust.NONE) {
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
    Server server = members.coldTurn(request, nowNanos, ratePerSecond(nowNanos));
    if (server != null) {
      server.coldTokens -= 1;
      return server;
    }
    server = members.near.choose(request, nowNanos);
    Server far = members.far.choose(request, nowNanos);
    if (far != null && (server == null || server.inFlight > far.inFlight + FAR_CALLS)) {
      server = far;
    }
    boolean beyond = server == null;
    if (members.spare.poolSize() > 0 && errorShare > ERROR_MARGIN) {
      // Its own may all fail, and only others' tell whether that is theirs or strikes all alike.
      beyond |= random.nextDouble() < errorShare;
    }
    Server spare = beyond ? members.spare.choose(request, nowNanos) : null;
    server = spare != null ? spare : server;
    server = server != null ? server : members.near.any(request, nowNanos);
    return server != null ? server : members.far.any(request, nowNanos);
  }

  private void send(Request request, Server server, long nowNanos) {
    long due = nowNanos + (long) (OVERDUE * request.classDelay());
    Request.Attempt attempt = new Request.Attempt(request, server, request.tries, nowNanos, due);
    request.add(attempt);
    request.waiting = false;
    server.onSend(attempt);
    members.setOf(server).taken(server);
    decayRate(nowNanos);
    sendCount += 1;
    actions.send(request.id, server.id, 0);
    if (request.rules.limits.mayHedge()
        && request.type.effect() != RequestClass.Effect.UNSAFE
        && request.form.hedgeable()
        && request.tries < request.rules.limits.maxAttempts()) {
      watched.add(attempt);
      setSweep(nowNanos, attempt.overdueNanos);
    }
  }

  private double ratePerSecond(long nowNanos) {
    decayRate(nowNanos);
    return sendCount * 1e9 / RATE_TAU_NANOS;
  }

  private void decayRate(long nowNanos) {
    if (nowNanos > sendCountNanos) {
      sendCount *= Math.exp(-(double) (nowNanos - sendCountNanos) / RATE_TAU_NANOS);
      sendCountNanos = nowNanos;
    }
  }

  // ---- no room, failures, waiting ----

  /**
   * Refused at once at the top; deeper, where callers would see an error, after a short wait. So is
   * all that comes while the list may not be acted on: it is likely to be confirmed in a moment.
   */
  private void noRoom(Request request, long nowNanos) {
    // A call that comes with no time left would be answered too late by any timer.
    long left = request.deadlineNanos - nowNanos;
    if ((request.rules.settings.tier() == 0 && !members.suspended(nowNanos))
        || left <= request.rules.settings.obligations().answerGraceNanos()) {
      giveUp(request, nowNanos, withoutRoom(nowNanos));
      return;
    }
    request.waiting = true;
    request.waitUntilNanos = nowNanos + (long) (WAIT_SHARE * left);
    waiting.add(request);
    setSweep(nowNanos, request.waitUntilNanos);
  }

  private UnservedReason withoutRoom(long nowNanos) {
    return members.suspended(nowNanos) ? UnservedReason.LIST_NOT_CURRENT : UnservedReason.NO_ROOM;
  }

  private void giveUp(Request request, long nowNanos, UnservedReason reason) {
    actions.reportUnserved(request.id, reason);
    if (request.mayRefuse()) {
      actions.refuse(request.id, Math.min(request.rules.limits.maxRetryAfterNanos(), 500_000_000L));
    } else {
      actions.fail(request.id);
    }
    finish(request, nowNanos);
    forget(request);
  }

  /** An attempt has failed and the request is not over. */
  private void goOn(Request request, long nowNanos) {
    if (request.open > 0 || request.waiting) {
      return;
    }
    boolean ran = request.binding() != null;
    long left = request.deadlineNanos - nowNanos;
    boolean hopeless = left < request.classDelay() || (ran && retryTokens < 1);
    if (!hopeless && trySend(request, nowNanos)) {
      retryTokens -= ran ? 1 : 0;
    } else if (hopeless || ran || request.tries >= request.rules.limits.maxAttempts()) {
      giveUp(request, nowNanos, UnservedReason.NO_FURTHER_ATTEMPT);
    } else {
      noRoom(request, nowNanos);
    }
  }

  private void serveWaiting(long nowNanos) {
    while (!waiting.isEmpty()) {
      Request head = waiting.peek();
      if (!head.over && head.waiting && !trySend(head, nowNanos)) {
        return;
      }
      waiting.poll();
    }
  }

  private void setSweep(long nowNanos, long dueNanos) {
    if (dueNanos < sweepDueNanos) {
      sweepDueNanos = dueNanos;
      actions.setTimer(Math.max(1_000_000L, dueNanos - nowNanos), SWEEP);
    }
  }

  /** Looks at overdue calls and at calls that have waited long enough; one timer serves all. */
  private void sweep(long nowNanos) {
    if (nowNanos < sweepDueNanos - TIMER_SLACK_NANOS) {
      return; // A timer whose work was done by an earlier one.
    }
    sweepDueNanos = Long.MAX_VALUE;
    waiting.removeIf(request -> settled(request, nowNanos));
    long next = Long.MAX_VALUE;
    for (Request request : waiting) { // Calls carry their caller's time: not in order of arrival.
      next = Math.min(next, request.waitUntilNanos);
    }
    while (!watched.isEmpty()) {
      Request.Attempt attempt = watched.peek();
      if (attempt.open && !attempt.request.over) {
        if (attempt.overdueNanos > nowNanos) {
          next = Math.min(next, attempt.overdueNanos);
          break;
        }
        copy(attempt.request, nowNanos);
      }
      watched.poll();
    }
    setSweep(nowNanos, next);
  }

  private boolean settled(Request request, long nowNanos) {
    if (request.waiting && request.waitUntilNanos <= nowNanos) {
      giveUp(
          request,
          nowNanos,
          members.suspended(nowNanos)
              ? UnservedReason.LIST_NOT_CURRENT
              : UnservedReason.WAITED_IN_VAIN);
    }
    return !request.waiting;
  }

  /** A second copy of an overdue call, where its class allows one and the budget lasts. */
  private void copy(Request request, long nowNanos) {
    if (retryTokens >= 1
        && request.open == 1
        && request.deadlineNanos - nowNanos > request.classDelay()
        && trySend(request, nowNanos)) {
      retryTokens -= 1;
    }
  }

  /** The module's own view in a line, to be held against what the sockets show. */
  public String summary(long nowNanos) {
    return String.format(
        "entry %s, retries left %.0f, level %.2f, errors %.2f, waiting %d, requests %d; %s",
        entry,
        retryTokens,
        level,
        errorShare,
        waiting.size(),
        requests.size(),
        members.figures(nowNanos));
  }

  /** Calls in flight, window, 1 if it rests or has rested twice unanswered; null if not known. */
  public int[] load(long nowNanos, long serverId) {
    Server it = members.known.get(serverId);
    boolean ill = it != null && (it.resting(nowNanos) || it.silent(nowNanos) || it.failures > 1);
    return it == null ? null : new int[] {it.inFlight, it.window.size(), ill ? 1 : 0};
  }

  // ---- judging servers ----

  private void judge(long nowNanos, Request.Attempt attempt, Outcome outcome, long tookNanos) {
    if (attempt.begun && outcome == Outcome.OK) {
      return; // Told when it began; since then it has gone on at its caller's pace.
    }
    switch (outcome) {
      case OK -> served(nowNanos, attempt, tookNanos);
      // A dying server fails all its calls at once; single resets, late connections may strike all.
      case ERROR, RESET, CONNECT_FAILED -> errored(nowNanos, attempt, outcome);
      case REFUSED -> retire(nowNanos, attempt);
      case TIMEOUT -> {
        if (attempt.server.heardNanos < attempt.sentNanos) {
          retire(nowNanos, attempt);
        }
      }
      default -> {}
    }
  }

  private void served(long nowNanos, Request.Attempt attempt, long tookNanos) {
    Server server = attempt.server;
    server.heardNanos = nowNanos;
    server.tookNanos = Math.max(server.tookNanos, attempt.sentNanos);
    server.failures = 0;
    noteError(server, 0);
    ActiveSettings of = attempt.request.rules;
    int index = attempt.request.classIndex;
    double bare = tookNanos / of.classDelay[index];
    double ratio = bare / level;
    // What slows every server alike must not close them: a server is judged against its peers.
    level += LEVEL_WEIGHT * (Math.min(bare, DelayWindow.SAMPLE_BOUND) - level);
    double weight = Math.max(CLASS_WEIGHT, 1.0 / ++of.classCount[index]);
    double most = of.classCount[index] < 10 ? tookNanos : 5 * of.classDelay[index];
    of.classDelay[index] += weight * (Math.min(tookNanos, most) - of.classDelay[index]);
    if (members.coldNow(server, nowNanos)) {
      return; // A cold server's delays are no measure of its normal ones.
    }
    int inFlight = server.inFlight + (attempt.open ? 0 : 1);
    if (server.window.onCompletion(nowNanos, attempt.sentNanos, ratio, inFlight)) {
      server.rest(nowNanos, random.nextDouble());
      members.setOf(server).leave(server);
    }
  }

  private void errored(long nowNanos, Request.Attempt attempt, Outcome outcome) {
    Server server = attempt.server;
    server.heardNanos = outcome == Outcome.CONNECT_FAILED ? server.heardNanos : nowNanos;
    noteError(server, 1);
    // At upper tiers an error may come from the tier below and then strikes all servers alike.
    if (server.errorShare > errorShare + ERROR_MARGIN) {
      retire(nowNanos, attempt);
      server.errorShare /= 2;
    }
  }

  private void noteError(Server server, double value) {
    server.errorShare += Server.ERROR_WEIGHT * (value - server.errorShare);
    errorShare += CLASS_WEIGHT * (value - errorShare);
  }

  /** Takes a server out for a while, once a flight: the calls of a flight fail together. */
  private void retire(long nowNanos, Request.Attempt attempt) {
    Server server = attempt.server;
    if (server.window.cutSince(attempt.sentNanos)) {
      return;
    }
    server.window.cut(nowNanos);
    server.rest(nowNanos, random.nextDouble());
    members.setOf(server).leave(server);
  }
}
