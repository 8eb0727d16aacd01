package heathswitch.proxy.dispatch;

import static java.util.concurrent.TimeUnit.NANOSECONDS;

import heathswitch.policy.api.Actions;
import heathswitch.policy.api.Health;
import heathswitch.policy.api.ListUpdate;
import heathswitch.policy.api.Outcome;
import heathswitch.policy.api.RequestClass;
import heathswitch.policy.api.RequestProtocol;
import heathswitch.policy.api.ServerEntry;
import heathswitch.policy.api.Settings;
import heathswitch.policy.api.UnservedReason;
import heathswitch.policy.core.Balancer;
import heathswitch.proxy.runtime.Clock;
import heathswitch.proxy.runtime.Log;
import heathswitch.proxy.spi.Answer;
import heathswitch.proxy.spi.Caller;
import heathswitch.proxy.spi.Payload;
import heathswitch.proxy.spi.Transport;
import heathswitch.proxy.spi.Upstream;
import io.netty.util.concurrent.EventExecutor;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Carries out what the decision module asks and tells it what happens. It decides nothing: which
 * upstream, whether to try again, to refuse or to fail is the module's.
 */
public final class Dispatcher implements Actions, LiveRequest.Listener {
  /** What discovery is asked for on the module's behalf. */
  public interface Discovery {
    void watch(boolean enable);

    void fetch();
  }

  /** What lies over the lists of discovery before anybody else sees them. */
  public interface Overlay {
    /** The entries as they are to be taken. */
    List<Member> over(ListUpdate form, List<Member> entries);
  }

  /** Whether anything may be sent at all; asked right before the first byte of an attempt. */
  public interface Gate {
    boolean open();
  }

  /** When to come back is said so at most where the module has said nothing of it. */
  private static final long RETRY_AFTER_NANOS = 500_000_000L;

  /** The answer that the module still owes so long after the deadline is given without it. */
  private static final long OVERDUE_NANOS = 10_000_000L;

  private final EventExecutor loop;
  private final Clock clock;
  private Settings settings;
  private final Map<String, RequestClass> classes = new HashMap<>();
  private final Map<Long, LiveRequest> requests = new HashMap<>();

  /** The ids of the requests that still owe an answer, as their clients named them. */
  private final Set<String> open = new HashSet<>();

  private final Map<String, Upstream> upstreams = new HashMap<>();
  private final Map<Long, Upstream> upstreamsById = new HashMap<>();
  private final ArrayDeque<Runnable> events = new ArrayDeque<>();
  private final List<Transport> transports = new ArrayList<>();
  private final Balancer balancer;
  public final Counters counters = new Counters();
  private Discovery discovery;

  /** Each lies over all before it. */
  private final List<Overlay> overlays = new ArrayList<>();

  /** Null where it is always open. */
  private Gate gate;

  /** Where requests may go that have no room here, or null. */
  private Elsewhere elsewhere;

  private boolean inEvent;
  private boolean ending;
  private int reloads;
  private long nextRequestId = 1;
  private long nextUpstreamId = 1;

  public Dispatcher(EventExecutor loop, Clock clock, Settings settings, long seed) {
    this.loop = loop;
    this.clock = clock;
    this.settings = settings;
    settings.classes().forEach(type -> classes.put(type.name(), type));
    this.balancer = new Balancer(settings, seed, this);
  }

  /** Adds a protocol in which upstreams are spoken to; before the start. */
  public void add(Transport transport) {
    transports.add(transport);
  }

  /** Lays something over all lists from now on, and over what lies there; before the start. */
  public void overlay(Overlay over) {
    overlays.add(over);
  }

  /** Has somebody say whether anything may be sent; before the start. */
  public void gate(Gate by) {
    gate = by;
  }

  /** Offers somebody what has no room here; before the start. */
  public void overflow(Elsewhere to) {
    elsewhere = to;
  }

  private void closeIdle(Upstream upstream) {
    transports.forEach(transport -> transport.closeIdle(upstream));
  }

  /** Starts the module with the list as this balancer last had it. */
  public void start(Discovery discovery, List<Member> known) {
    this.discovery = discovery;
    event(null, () -> balancer.start(clock.nowNanos()));
    onServers(ListUpdate.STALE_FULL, known);
  }

  /**
   * Other settings for the requests that are taken from now on. What is open keeps those that it
   * was taken under, to its end.
   */
  public void reload(Settings to) {
    settings = to;
    reloads++;
    classes.clear();
    to.classes().forEach(type -> classes.put(type.name(), type));
    balancer.reload(to);
  }

  /** How often the settings have been replaced: what was read by a class before may be void. */
  public int reloads() {
    return reloads;
  }

  /** Requests that have come in since the start. */
  public long taken() {
    return nextRequestId - 1;
  }

  public RequestClass requestClass(String name) {
    return name == null ? null : classes.get(name);
  }

  /**
   * Whether a request of this id waits for its answer here. Ids are new with every request, so a
   * second one is a mistake or a forgery, and an upstream could not tell the two apart.
   */
  public boolean isOpen(String name) {
    return open.contains(name);
  }

  /** What the module makes of the world. */
  public String figures() {
    return balancer.summary(clock.nowNanos());
  }

  /** Attempts that are out at such upstreams, those that are no longer listed among them. */
  public int inFlight(Predicate<Upstream> at) {
    int calls = 0;
    for (Upstream upstream : upstreams.values()) {
      calls += upstream.attempts > 0 && at.test(upstream) ? upstream.attempts : 0;
    }
    return calls;
  }

  /** Of each server's name calls in flight, window, and 1 if it is ill; so many at most. */
  public Map<String, int[]> loads(int most) {
    Map<String, int[]> loads = new LinkedHashMap<>();
    long now = clock.nowNanos();
    for (Upstream upstream : upstreams.values()) {
      int[] load = loads.size() < most ? balancer.load(now, upstream.id) : null;
      if (load != null) {
        loads.put(upstream.name, load);
      }
    }
    return loads;
  }

  public int live() {
    return requests.size();
  }

  /** Upstreams to which there are connections. */
  public int connected() {
    int connected = 0;
    for (Upstream upstream : upstreams.values()) {
      boolean held = upstream.attempts > 0;
      for (Transport transport : transports) {
        held |= transport.holds(upstream);
      }
      connected += held ? 1 : 0;
    }
    return connected;
  }

  // ---- events for the module ----

  /**
   * Hands an event to the module, one at a time: what an action causes at once, a failed connect
   * say, comes as a later event and never inside the call that caused it. An exception ends the
   * request that it belongs to and nothing else.
   */
  private void event(LiveRequest request, Runnable event) {
    events.add(
        () -> {
          try {
            event.run();
          } catch (RuntimeException e) {
            Log.error("decision module", "event failed", e);
            if (request != null) {
              abort(request);
            }
          }
        });
    if (inEvent) {
      return;
    }
    inEvent = true;
    try {
      for (Runnable next = events.poll(); next != null; next = events.poll()) {
        next.run();
      }
    } finally {
      inEvent = false;
    }
  }

  /**
   * A request has come in; its time runs from now.
   *
   * @param name the client's name for it, which no open request has
   */
  public void onRequest(
      Caller client,
      RequestClass type,
      String name,
      String tenant,
      boolean repeat,
      long ttlNanos,
      RequestProtocol form,
      Payload payload) {
    LiveRequest request =
        new LiveRequest(
            nextRequestId++, name, client, type, payload, clock.nowNanos(), ttlNanos, this);
    request.mostTries = settings.limits().maxAttempts();
    request.retryAfterNanos = Math.min(RETRY_AFTER_NANOS, settings.limits().maxRetryAfterNanos());
    requests.put(request.id, request);
    open.add(request.name);
    client.taken(request);
    counters.requests++;
    request.deadline = loop.schedule(() -> onDeadline(request), ttlNanos, NANOSECONDS);
    if (ending) {
      turnAway(request);
      return;
    }
    event(
        request,
        () -> {
          balancer.onRequest(
              clock.nowNanos(), request.id, type.name(), tenant, ttlNanos, repeat, form);
          offerHeld(request);
        });
  }

  /** The client's time is up: open attempts end, and the module gives the answer. */
  private void onDeadline(LiveRequest request) {
    for (LiveRequest.Attempt attempt : List.copyOf(request.attempts)) {
      timeOut(attempt);
    }
    if (!request.over) {
      loop.schedule(() -> abort(request), OVERDUE_NANOS, NANOSECONDS);
    }
  }

  /**
   * The one place that says whether an attempt may begin, asked right before its first byte. A
   * connection that took its time may come up after the client has gone, after its upstream has
   * been told to drain or after the time in which a keyed request may be repeated. The gate, which
   * closes by the clock, is asked last: a process that is stopped after that look and before the
   * write sends one request when it wakes.
   */
  @Override
  public boolean mayBegin(LiveRequest.Attempt attempt) {
    LiveRequest request = attempt.request;
    return attempt.open
        && !request.over
        && clock.nowNanos() < request.deadlineNanos
        && request.client.stillWaits()
        && attempt.open
        && (attempt.away || balancer.mayBegin(clock.nowNanos(), request.id, attempt.number))
        && (gate == null || gate.open());
  }

  private void timeOut(LiveRequest.Attempt attempt) {
    if (!attempt.open) {
      return;
    }
    if (attempt.upstream().silentSinceNanos <= attempt.sentNanos) {
      closeIdle(attempt.upstream()); // Silent all along: its other connections are no better.
    }
    ended(attempt, Outcome.TIMEOUT, null);
    attempt.abandon();
  }

  /** The last resort that keeps the promise of one answer: the module threw, or said nothing. */
  private void abort(LiveRequest request) {
    if (!request.over) {
      Log.warn(
          "no decision",
          "request " + request.id + " failed by the host",
          "request",
          Long.toString(request.id));
      Answer last = request.takeError();
      answered(request);
      request.client.fail(last);
      forgo(request);
    }
  }

  /**
   * No time is left for any decision: the process is about to be killed. What is taken from now on,
   * a body that was long in coming say, is turned away at once, as nothing of it has run.
   */
  public void failAll() {
    ending = true;
    for (LiveRequest request : List.copyOf(requests.values())) {
      abort(request);
    }
  }

  /** The client has gone; of a stream that has begun, what is still out is called off. */
  @Override
  public void gone(LiveRequest request) {
    if (!request.over) {
      counters.gone++;
      answered(request);
    }
    forgo(request);
  }

  @Override
  public void whole(LiveRequest request, long ttlNanos) {
    if (!request.over) {
      request.wholeNanos = clock.nowNanos();
      request.deadlineNanos = request.wholeNanos + ttlNanos;
      request.deadline.cancel(false);
      request.deadline = loop.schedule(() -> onDeadline(request), ttlNanos, NANOSECONDS);
    }
  }

  private void forgo(LiveRequest request) {
    event(null, () -> balancer.onClientGone(clock.nowNanos(), request.id));
    for (LiveRequest.Attempt attempt : List.copyOf(request.attempts)) {
      callOff(attempt);
    }
  }

  private void callOff(LiveRequest.Attempt attempt) {
    if (attempt.open) {
      ended(attempt, Outcome.CANCELLED, null);
      attempt.abandon();
    }
  }

  /** An answer that is passed on as it comes has begun: the request is over, its attempt is not. */
  @Override
  public boolean begun(LiveRequest.Attempt attempt) {
    LiveRequest request = attempt.request;
    if (!attempt.open || request.over) {
      return false;
    }
    long now = clock.nowNanos();
    long took = now - Math.max(attempt.sentNanos, request.wholeNanos);
    attempt.begun = true;
    if (elsewhere != null && !attempt.away) {
      elsewhere.servedHere(request.type, now - request.wholeNanos);
    }
    answered(request);
    counters.served++;
    event(request, () -> balancer.onAnswerBegun(now, request.id, attempt.number, took));
    // The module hears of it first: told of another's end while it holds the request for open, it
    // would call off this one too.
    for (LiveRequest.Attempt other : List.copyOf(request.attempts)) {
      if (other != attempt) {
        callOff(other); // Two answers must not go to one caller.
      }
    }
    return true;
  }

  @Override
  public void ended(LiveRequest.Attempt attempt, Outcome outcome, Answer answer) {
    LiveRequest request = attempt.request;
    if (!attempt.open) {
      release(answer);
      return;
    }
    attempt.open = false;
    attempt.outcome = outcome;
    if (attempt.timeout != null) {
      attempt.timeout.cancel(false);
    }
    attempt.upstream().attempts--;
    counters.outcome(outcome);
    request.neverRan &= outcome.neverRan();
    boolean serves = outcome == Outcome.OK && !request.over;
    if (request.over) {
      release(answer);
    } else if (serves) {
      answered(request);
      counters.served++;
      request.client.serve(answer);
    } else if (answer != null) {
      request.keep(answer);
    }
    long until = clock.nowNanos();
    if (attempt.away) {
      endedAway(attempt, outcome, until);
      return;
    }
    if (elsewhere != null && serves) {
      elsewhere.servedHere(request.type, until - request.wholeNanos);
    }
    event(
        request,
        () -> {
          request.openAttempts--;
          try {
            balancer.onOutcome(
                clock.nowNanos(),
                request.id,
                attempt.number,
                outcome,
                until - Math.max(attempt.sentNanos, request.wholeNanos),
                request.over);
            offerHeld(request);
          } finally {
            forgetFinished(request);
          }
        });
  }

  // ---- what has no room here ----

  /** One that the module holds back for want of room may go elsewhere at once. */
  private void offerHeld(LiveRequest request) {
    if (!request.over && request.openAttempts == 0 && sentAway(request)) {
      balancer.onClientGone(clock.nowNanos(), request.id);
    }
  }

  /**
   * Sends a request elsewhere that nothing here has run; false if there is no place for it. One
   * whose client turns out to have gone is over, as if it had been sent.
   */
  private boolean sentAway(LiveRequest request) {
    long now = clock.nowNanos();
    // However many attempts here never ran: a site that is lost has made all of them in no time.
    if (elsewhere == null || !request.neverRan || !request.client.mayLeave()) {
      return false;
    }
    if (!request.client.stillWaits()) {
      return request.over;
    }
    Upstream place =
        elsewhere.choose(
            request.type, request.payload, request.deadlineNanos - now, request.awayTries);
    if (place == null) {
      return false;
    }
    LiveRequest.Attempt attempt =
        new LiveRequest.Attempt(request, request.attempts.size(), place, now, this);
    attempt.away = true;
    request.attempts.add(attempt);
    request.openAttempts++;
    request.awayTries++;
    place.attempts++;
    if (!elsewhere.start(attempt, request.type, request.payload)) {
      ended(attempt, Outcome.MOOT, null);
    }
    return true;
  }

  /** What never ran may try once more; a failure is told as the request's own effect demands. */
  private void endedAway(LiveRequest.Attempt attempt, Outcome outcome, long nowNanos) {
    LiveRequest request = attempt.request;
    request.openAttempts--;
    elsewhere.ended(attempt.upstream(), request.type, outcome, nowNanos - attempt.sentNanos);
    if (!request.over && outcome == Outcome.RESET && safe(request)) {
      request.neverRan = true; // A safe one may run twice, so that a lost link is no loss.
    }
    if (!request.over && !sentAway(request)) {
      if (request.neverRan || safe(request)) {
        turnAway(request);
      } else {
        failed(request);
      }
    }
    forgetFinished(request);
  }

  private static boolean safe(LiveRequest request) {
    return request.type.effect() == RequestClass.Effect.SAFE;
  }

  private static void release(Answer answer) {
    if (answer != null) {
      answer.release();
    }
  }

  /** From here on nothing more is sent for the request. */
  private void answered(LiveRequest request) {
    request.over = true;
    open.remove(request.name);
    request.deadline.cancel(false);
    forgetFinished(request);
  }

  private void forgetFinished(LiveRequest request) {
    if (request.finished() && requests.remove(request.id) != null) {
      request.release();
    }
  }

  // ---- discovery's news ----

  public void onServers(ListUpdate form, List<Member> entries) {
    over(0, form, entries);
  }

  /**
   * Some entries mean something else than before, though discovery has said nothing new.
   *
   * @param by whose doing it is; what lies over it has its say
   */
  public void onStanding(Overlay by, List<Member> entries) {
    over(overlays.indexOf(by) + 1, ListUpdate.UNSOLICITED_DELTA, entries);
  }

  private void over(int from, ListUpdate form, List<Member> entries) {
    List<Member> laidOver = entries;
    for (Overlay each : overlays.subList(from, overlays.size())) {
      laidOver = each.over(form, laidOver);
    }
    take(form, laidOver);
  }

  private void take(ListUpdate form, List<Member> entries) {
    Set<Upstream> listed = new HashSet<>();
    List<ServerEntry> news = new ArrayList<>();
    for (Member entry : entries) {
      Upstream upstream = upstreams.computeIfAbsent(entry.id(), this::newUpstream);
      listed.add(upstream);
      apply(upstream, entry);
      news.add(entry.forModule(upstream.id));
    }
    if (form.isFull()) {
      for (Upstream upstream : upstreams.values()) {
        if (!listed.contains(upstream)) {
          upstream.unwanted = true;
          upstream.removed = true;
          closeIdle(upstream);
        }
      }
    }
    event(null, () -> balancer.onListUpdate(clock.nowNanos(), form, news));
    upstreams.values().removeIf(this::forgotten);
  }

  private Upstream newUpstream(String name) {
    Upstream upstream = new Upstream(nextUpstreamId++, name);
    upstreamsById.put(upstream.id, upstream);
    return upstream;
  }

  private void apply(Upstream upstream, Member entry) {
    boolean moved =
        entry.speaks() != 0
            && !(Objects.equals(entry.address(), upstream.address)
                && Objects.equals(entry.grpcAddress(), upstream.grpcAddress));
    boolean restarted = entry.startedMillis() != upstream.startedMillis;
    if (moved) {
      upstream.address = entry.address();
      upstream.grpcAddress = entry.grpcAddress();
    }
    upstream.startedMillis = entry.startedMillis();
    upstream.unwanted = entry.health() != Health.READY;
    upstream.removed = entry.health() == Health.GONE;
    if (moved || restarted || upstream.unwanted) {
      closeIdle(upstream);
    }
  }

  /** Machines are replaced under new names for as long as the process runs. */
  private boolean forgotten(Upstream upstream) {
    boolean forget = upstream.removed && upstream.attempts == 0;
    if (forget) {
      upstreamsById.remove(upstream.id);
    }
    return forget;
  }

  /**
   * A call to discovery failed, or its watch broke.
   *
   * @param form how it failed
   */
  public void onDiscoveryFailed(ListUpdate form) {
    event(null, () -> balancer.onListUpdate(clock.nowNanos(), form, List.of()));
  }

  /** Has a list that is not confirmed hold for a limited time only. */
  public void limitListAge(long toldNanos) {
    event(null, () -> balancer.limitListAge(clock.nowNanos(), toldNanos));
  }

  /** Discovery has said that the list is current, after all news of it. */
  public void onListConfirmed() {
    event(null, () -> balancer.onListConfirmed(clock.nowNanos()));
  }

  /** Discovery is to be asked at another address from now on. */
  public void onDiscoveryMoved() {
    event(null, () -> balancer.onDiscoveryMoved(clock.nowNanos()));
  }

  // ---- the module's actions ----

  @Override
  public void send(long requestId, long serverId, long notPastNanos) {
    LiveRequest request = requests.get(requestId);
    Upstream upstream = upstreamsById.get(serverId);
    if (request == null || upstream == null) {
      throw new IllegalStateException("send of " + requestId + " to " + serverId);
    }
    long now = clock.nowNanos();
    LiveRequest.Attempt attempt =
        new LiveRequest.Attempt(request, request.attempts.size(), upstream, now, this);
    request.attempts.add(attempt);
    request.openAttempts++;
    RequestLog.sent(request, now);
    if (request.over
        || now >= request.deadlineNanos
        || attempt.number >= request.mostTries
        || !request.payload.repeatable()
        || !mayBegin(attempt)
        || !request.payload.start(attempt)) {
      upstream.attempts++; // Taken back with the outcome, like that of any attempt.
      ended(attempt, Outcome.MOOT, null);
      return;
    }
    if (attempt.open && notPastNanos > 0 && notPastNanos < request.deadlineNanos) {
      long left = Math.max(0, notPastNanos - now);
      attempt.timeout = loop.schedule(() -> timeOut(attempt), left, NANOSECONDS);
    }
  }

  @Override
  public void cancel(long requestId, int number) {
    LiveRequest request = requests.get(requestId);
    if (request != null && number >= 0 && number < request.attempts.size()) {
      callOff(request.attempts.get(number));
    }
  }

  @Override
  public void refuse(long requestId, long retryAfterNanos) {
    LiveRequest request = requests.get(requestId);
    if (request != null && !request.over) {
      request.retryAfterNanos = retryAfterNanos;
      if (elsewhere != null) {
        elsewhere.refusedHere(request.client.mayLeave());
      }
      if (!sentAway(request)) {
        turnAway(request);
      }
    }
  }

  @Override
  public void reportUnserved(long requestId, UnservedReason reason) {
    LiveRequest request = requests.get(requestId);
    if (request != null) {
      request.givenUp = reason;
    }
  }

  private void turnAway(LiveRequest request) {
    counters.refused++;
    RequestLog.refused(request, clock.nowNanos());
    Answer last = request.takeError(); // Else it ends with the request.
    answered(request);
    request.client.refuse(request.retryAfterNanos, last);
  }

  @Override
  public void fail(long requestId) {
    LiveRequest request = requests.get(requestId);
    if (request != null && !request.over) {
      failed(request);
    }
  }

  private void failed(LiveRequest request) {
    counters.failed++;
    RequestLog.failed(request, clock.nowNanos());
    Answer last = request.takeError();
    answered(request);
    request.client.fail(last);
  }

  @Override
  public void setTimer(long delayNanos, long token) {
    loop.schedule(
        () -> event(null, () -> balancer.onTimer(clock.nowNanos(), token)),
        delayNanos,
        NANOSECONDS);
  }

  @Override
  public void watch(boolean enable) {
    discovery.watch(enable);
  }

  @Override
  public void fetch() {
    discovery.fetch();
  }

  @Override
  public void log(String message) {
    Log.info("module", message);
  }
}
