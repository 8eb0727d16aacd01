package heathswitch.proxy.dispatch;

import static java.util.concurrent.TimeUnit.NANOSECONDS;

import heathswitch.policy.api.Actions;
import heathswitch.policy.api.Form;
import heathswitch.policy.api.GiveUp;
import heathswitch.policy.api.Health;
import heathswitch.policy.api.ListForm;
import heathswitch.policy.api.Outcome;
import heathswitch.policy.api.RequestClass;
import heathswitch.policy.api.ServerEntry;
import heathswitch.policy.api.Settings;
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
    List<Member> apply(ListForm form, List<Member> entries);
  }

  /** Whether anything may be sent at all; asked right before the first byte of an attempt. */
  public interface SendGate {
    boolean isOpen();
  }

  /** When to come back is said so at most where the module has said nothing of it. */
  private static final long DEFAULT_RETRY_AFTER_NANOS = 500_000_000L;

  /** The answer that the module still owes so long after the deadline is given without it. */
  private static final long DECISION_GRACE_NANOS = 10_000_000L;

  private final EventExecutor loop;
  private final Clock clock;
  private Settings settings;
  private final Map<String, RequestClass> classes = new HashMap<>();
  private final Map<Long, LiveRequest> requests = new HashMap<>();

  /** The ids of the requests that still owe an answer, as their clients named them. */
  private final Set<String> openRequestNames = new HashSet<>();

  private final Map<String, Upstream> upstreams = new HashMap<>();
  private final Map<Long, Upstream> upstreamsById = new HashMap<>();
  private final ArrayDeque<Runnable> pendingEvents = new ArrayDeque<>();
  private final List<Transport> transports = new ArrayList<>();
  private final Balancer balancer;
  public final Counters counters = new Counters();
  private Discovery discovery;

  /** Each lies over all before it. */
  private final List<Overlay> overlays = new ArrayList<>();

  /** Null where it is always open. */
  private SendGate sendGate;

  /** Where requests may go that have no room here, or null. */
  private OverflowRouter overflowRouter;

  private boolean handlingEvent;
  private boolean refusingAll;
  private int reloadCount;
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
  public void addTransport(Transport transport) {
    transports.add(transport);
  }

  /** Lays something over all lists from now on, and over what lies there; before the start. */
  public void addOverlay(Overlay overlay) {
    overlays.add(overlay);
  }

  /** Has somebody say whether anything may be sent; before the start. */
  public void setSendGate(SendGate gate) {
    sendGate = gate;
  }

  /** Offers somebody what has no room here; before the start. */
  public void setOverflowRouter(OverflowRouter router) {
    overflowRouter = router;
  }

  private void closeIdle(Upstream upstream) {
    transports.forEach(transport -> transport.closeIdle(upstream));
  }

  /** Starts the module with the list as this balancer last had it. */
  public void start(Discovery discovery, List<Member> knownMembers) {
    this.discovery = discovery;
    deliverEvent(null, () -> balancer.start(clock.nowNanos()));
    onServers(ListForm.STALE, knownMembers);
  }

  /**
   * Other settings for the requests that are taken from now on. What is open keeps those that it
   * was taken under, to its end.
   */
  public void reload(Settings newSettings) {
    settings = newSettings;
    reloadCount++;
    classes.clear();
    newSettings.classes().forEach(type -> classes.put(type.name(), type));
    balancer.reload(newSettings);
  }

  /** How often the settings have been replaced: what was read by a class before may be void. */
  public int reloadCount() {
    return reloadCount;
  }

  /** Requests that have come in since the start. */
  public long requestCount() {
    return nextRequestId - 1;
  }

  public RequestClass requestClass(String name) {
    return name == null ? null : classes.get(name);
  }

  /**
   * Whether a request of this id waits for its answer here. Ids are new with every request, so a
   * second one is a mistake or a forgery, and an upstream could not tell the two apart.
   */
  public boolean isRequestOpen(String name) {
    return openRequestNames.contains(name);
  }

  /** What the module makes of the world. */
  public String figures() {
    return balancer.figures(clock.nowNanos());
  }

  /** Attempts that are out at such upstreams, those that are no longer listed among them. */
  public int inFlight(Predicate<Upstream> matching) {
    int attempts = 0;
    for (Upstream upstream : upstreams.values()) {
      attempts += upstream.inFlight > 0 && matching.test(upstream) ? upstream.inFlight : 0;
    }
    return attempts;
  }

  /** Of each server's name calls in flight, window, and 1 if it is ill; so many at most. */
  public Map<String, int[]> loads(int maxServers) {
    Map<String, int[]> loads = new LinkedHashMap<>();
    long now = clock.nowNanos();
    for (Upstream upstream : upstreams.values()) {
      int[] load = loads.size() < maxServers ? balancer.load(now, upstream.id) : null;
      if (load != null) {
        loads.put(upstream.name, load);
      }
    }
    return loads;
  }

  public int liveRequestCount() {
    return requests.size();
  }

  /** Upstreams to which there are connections. */
  public int connectedUpstreamCount() {
    int connected = 0;
    for (Upstream upstream : upstreams.values()) {
      boolean isConnected = upstream.inFlight > 0;
      for (Transport transport : transports) {
        isConnected |= transport.hasConnection(upstream);
      }
      connected += isConnected ? 1 : 0;
    }
    return connected;
  }

  // ---- events for the module ----

  /**
   * Hands an event to the module, one at a time: what an action causes at once, a failed connect
   * say, comes as a later event and never inside the call that caused it. An exception ends the
   * request that it belongs to and nothing else.
   */
  private void deliverEvent(LiveRequest request, Runnable event) {
    pendingEvents.add(
        () -> {
          try {
            event.run();
          } catch (RuntimeException e) {
            Log.error("decision module", "event failed", e);
            if (request != null) {
              failWithoutDecision(request);
            }
          }
        });
    if (handlingEvent) {
      return;
    }
    handlingEvent = true;
    try {
      for (Runnable next = pendingEvents.poll(); next != null; next = pendingEvents.poll()) {
        next.run();
      }
    } finally {
      handlingEvent = false;
    }
  }

  /**
   * A request has come in; its time runs from now.
   *
   * @param name the client's name for it, which no open request has
   */
  public void onRequest(
      Caller caller,
      RequestClass type,
      String name,
      String tenant,
      boolean isRetry,
      long ttlNanos,
      Form form,
      Payload payload) {
    LiveRequest request =
        new LiveRequest(
            nextRequestId++, name, caller, type, payload, clock.nowNanos(), ttlNanos, this);
    request.maxAttempts = settings.limits().mostTries();
    request.retryAfterNanos =
        Math.min(DEFAULT_RETRY_AFTER_NANOS, settings.limits().maxRetryAfterNanos());
    requests.put(request.id, request);
    openRequestNames.add(request.name);
    caller.accepted(request);
    counters.requests++;
    request.deadline = loop.schedule(() -> onDeadline(request), ttlNanos, NANOSECONDS);
    if (refusingAll) {
      sendRefusal(request);
      return;
    }
    deliverEvent(
        request,
        () -> {
          balancer.onRequest(
              clock.nowNanos(), request.id, type.name(), tenant, ttlNanos, isRetry, form);
          overflowIfHeldBack(request);
        });
  }

  /** The client's time is up: open attempts end, and the module gives the answer. */
  private void onDeadline(LiveRequest request) {
    for (LiveRequest.Attempt attempt : List.copyOf(request.attempts)) {
      timeOutAttempt(attempt);
    }
    if (!request.completed) {
      loop.schedule(() -> failWithoutDecision(request), DECISION_GRACE_NANOS, NANOSECONDS);
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
  public boolean maySend(LiveRequest.Attempt attempt) {
    LiveRequest request = attempt.request;
    return attempt.open
        && !request.completed
        && clock.nowNanos() < request.deadlineNanos
        && request.caller.isStillWaiting()
        && attempt.open
        && (attempt.overflow || balancer.mayBegin(clock.nowNanos(), request.id, attempt.number))
        && (sendGate == null || sendGate.isOpen());
  }

  private void timeOutAttempt(LiveRequest.Attempt attempt) {
    if (!attempt.open) {
      return;
    }
    if (attempt.upstream().silentSinceNanos <= attempt.sentNanos) {
      closeIdle(attempt.upstream()); // Silent all along: its other connections are no better.
    }
    complete(attempt, Outcome.TIMEOUT, null);
    attempt.cancel();
  }

  /** The last resort that keeps the promise of one answer: the module threw, or said nothing. */
  private void failWithoutDecision(LiveRequest request) {
    if (!request.completed) {
      Log.warn(
          "no decision",
          "request " + request.id + " failed by the host",
          "request",
          Long.toString(request.id));
      Answer lastError = request.takeLastError();
      markCompleted(request);
      request.caller.fail(lastError);
      cancelAllAttempts(request);
    }
  }

  /**
   * No time is left for any decision: the process is about to be killed. What is taken from now on,
   * a body that was long in coming say, is turned away at once, as nothing of it has run.
   */
  public void failAll() {
    refusingAll = true;
    for (LiveRequest request : List.copyOf(requests.values())) {
      failWithoutDecision(request);
    }
  }

  /** The client has gone; of a stream that has begun, what is still out is called off. */
  @Override
  public void callerGone(LiveRequest request) {
    if (!request.completed) {
      counters.callerGone++;
      markCompleted(request);
    }
    cancelAllAttempts(request);
  }

  @Override
  public void bodyComplete(LiveRequest request, long ttlNanos) {
    if (!request.completed) {
      request.bodyCompleteNanos = clock.nowNanos();
      request.deadlineNanos = request.bodyCompleteNanos + ttlNanos;
      request.deadline.cancel(false);
      request.deadline = loop.schedule(() -> onDeadline(request), ttlNanos, NANOSECONDS);
    }
  }

  private void cancelAllAttempts(LiveRequest request) {
    deliverEvent(null, () -> balancer.onGone(clock.nowNanos(), request.id));
    for (LiveRequest.Attempt attempt : List.copyOf(request.attempts)) {
      cancelAttempt(attempt);
    }
  }

  private void cancelAttempt(LiveRequest.Attempt attempt) {
    if (attempt.open) {
      complete(attempt, Outcome.CANCELLED, null);
      attempt.cancel();
    }
  }

  /** An answer that is passed on as it comes has begun: the request is over, its attempt is not. */
  @Override
  public boolean beginStreaming(LiveRequest.Attempt attempt) {
    LiveRequest request = attempt.request;
    if (!attempt.open || request.completed) {
      return false;
    }
    long now = clock.nowNanos();
    long tookNanos = now - Math.max(attempt.sentNanos, request.bodyCompleteNanos);
    attempt.streaming = true;
    if (overflowRouter != null && !attempt.overflow) {
      overflowRouter.onLocalAnswer(request.type, now - request.bodyCompleteNanos);
    }
    markCompleted(request);
    counters.served++;
    deliverEvent(request, () -> balancer.onFirst(now, request.id, attempt.number, tookNanos));
    // The module hears of it first: told of another's end while it holds the request for open, it
    // would call off this one too.
    for (LiveRequest.Attempt other : List.copyOf(request.attempts)) {
      if (other != attempt) {
        cancelAttempt(other); // Two answers must not go to one caller.
      }
    }
    return true;
  }

  @Override
  public void complete(LiveRequest.Attempt attempt, Outcome outcome, Answer answer) {
    LiveRequest request = attempt.request;
    if (!attempt.open) {
      releaseAnswer(answer);
      return;
    }
    attempt.open = false;
    attempt.outcome = outcome;
    if (attempt.timeout != null) {
      attempt.timeout.cancel(false);
    }
    attempt.upstream().inFlight--;
    counters.countOutcome(outcome);
    request.neverRan &= outcome.neverRan();
    boolean isServed = outcome == Outcome.OK && !request.completed;
    if (request.completed) {
      releaseAnswer(answer);
    } else if (isServed) {
      markCompleted(request);
      counters.served++;
      request.caller.serve(answer);
    } else if (answer != null) {
      request.replaceLastError(answer);
    }
    long endNanos = clock.nowNanos();
    if (attempt.overflow) {
      onOverflowEnded(attempt, outcome, endNanos);
      return;
    }
    if (overflowRouter != null && isServed) {
      overflowRouter.onLocalAnswer(request.type, endNanos - request.bodyCompleteNanos);
    }
    deliverEvent(
        request,
        () -> {
          request.openAttempts--;
          try {
            balancer.onOutcome(
                clock.nowNanos(),
                request.id,
                attempt.number,
                outcome,
                endNanos - Math.max(attempt.sentNanos, request.bodyCompleteNanos),
                request.completed);
            overflowIfHeldBack(request);
          } finally {
            removeIfFinished(request);
          }
        });
  }

  // ---- what has no room here ----

  /** One that the module holds back for want of room may go elsewhere at once. */
  private void overflowIfHeldBack(LiveRequest request) {
    if (!request.completed && request.openAttempts == 0 && sendOverflow(request)) {
      balancer.onGone(clock.nowNanos(), request.id);
    }
  }

  /**
   * Sends a request elsewhere that nothing here has run; false if there is no place for it. One
   * whose client turns out to have gone is over, as if it had been sent.
   */
  private boolean sendOverflow(LiveRequest request) {
    long now = clock.nowNanos();
    // However many attempts here never ran: a site that is lost has made all of them in no time.
    if (overflowRouter == null || !request.neverRan || !request.caller.mayOverflow()) {
      return false;
    }
    if (!request.caller.isStillWaiting()) {
      return request.completed;
    }
    Upstream site =
        overflowRouter.chooseSite(
            request.type, request.payload, request.deadlineNanos - now, request.overflowAttempts);
    if (site == null) {
      return false;
    }
    LiveRequest.Attempt attempt =
        new LiveRequest.Attempt(request, request.attempts.size(), site, now, this);
    attempt.overflow = true;
    request.attempts.add(attempt);
    request.openAttempts++;
    request.overflowAttempts++;
    site.inFlight++;
    if (!overflowRouter.start(attempt, request.type, request.payload)) {
      complete(attempt, Outcome.MOOT, null);
    }
    return true;
  }

  /** What never ran may try once more; a failure is told as the request's own effect demands. */
  private void onOverflowEnded(LiveRequest.Attempt attempt, Outcome outcome, long nowNanos) {
    LiveRequest request = attempt.request;
    request.openAttempts--;
    overflowRouter.onEnd(attempt.upstream(), request.type, outcome, nowNanos - attempt.sentNanos);
    if (!request.completed && outcome == Outcome.RESET && isSafe(request)) {
      request.neverRan = true; // A safe one may run twice, so that a lost link is no loss.
    }
    if (!request.completed && !sendOverflow(request)) {
      if (request.neverRan || isSafe(request)) {
        sendRefusal(request);
      } else {
        sendFailure(request);
      }
    }
    removeIfFinished(request);
  }

  private static boolean isSafe(LiveRequest request) {
    return request.type.effect() == RequestClass.Effect.SAFE;
  }

  private static void releaseAnswer(Answer answer) {
    if (answer != null) {
      answer.release();
    }
  }

  /** From here on nothing more is sent for the request. */
  private void markCompleted(LiveRequest request) {
    request.completed = true;
    openRequestNames.remove(request.name);
    request.deadline.cancel(false);
    removeIfFinished(request);
  }

  private void removeIfFinished(LiveRequest request) {
    if (request.isFinished() && requests.remove(request.id) != null) {
      request.release();
    }
  }

  // ---- discovery's news ----

  public void onServers(ListForm form, List<Member> entries) {
    applyOverlays(0, form, entries);
  }

  /**
   * Some entries mean something else than before, though discovery has said nothing new.
   *
   * @param by whose doing it is; what lies over it has its say
   */
  public void onOverlayChanged(Overlay overlay, List<Member> entries) {
    applyOverlays(overlays.indexOf(overlay) + 1, ListForm.UNASKED, entries);
  }

  private void applyOverlays(int firstOverlay, ListForm form, List<Member> entries) {
    List<Member> members = entries;
    for (Overlay overlay : overlays.subList(firstOverlay, overlays.size())) {
      members = overlay.apply(form, members);
    }
    applyList(form, members);
  }

  private void applyList(ListForm form, List<Member> entries) {
    Set<Upstream> listed = new HashSet<>();
    List<ServerEntry> serverEntries = new ArrayList<>();
    for (Member entry : entries) {
      Upstream upstream = upstreams.computeIfAbsent(entry.id(), this::newUpstream);
      listed.add(upstream);
      updateUpstream(upstream, entry);
      serverEntries.add(entry.toServerEntry(upstream.id));
    }
    if (form.whole()) {
      for (Upstream upstream : upstreams.values()) {
        if (!listed.contains(upstream)) {
          upstream.outOfService = true;
          upstream.removed = true;
          closeIdle(upstream);
        }
      }
    }
    deliverEvent(null, () -> balancer.onServers(clock.nowNanos(), form, serverEntries));
    upstreams.values().removeIf(this::forgetIfUnused);
  }

  private Upstream newUpstream(String name) {
    Upstream upstream = new Upstream(nextUpstreamId++, name);
    upstreamsById.put(upstream.id, upstream);
    return upstream;
  }

  private void updateUpstream(Upstream upstream, Member entry) {
    boolean addressChanged =
        entry.protocols() != 0
            && !(Objects.equals(entry.address(), upstream.address)
                && Objects.equals(entry.grpcAddress(), upstream.grpcAddress));
    boolean restarted = entry.startedMillis() != upstream.startedMillis;
    if (addressChanged) {
      upstream.address = entry.address();
      upstream.grpcAddress = entry.grpcAddress();
    }
    upstream.startedMillis = entry.startedMillis();
    upstream.outOfService = entry.health() != Health.READY;
    upstream.removed = entry.health() == Health.GONE;
    if (addressChanged || restarted || upstream.outOfService) {
      closeIdle(upstream);
    }
  }

  /** Machines are replaced under new names for as long as the process runs. */
  private boolean forgetIfUnused(Upstream upstream) {
    boolean forget = upstream.removed && upstream.inFlight == 0;
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
  public void onDiscoveryFailed(ListForm form) {
    deliverEvent(null, () -> balancer.onServers(clock.nowNanos(), form, List.of()));
  }

  /** Has a list that is not confirmed hold for a limited time only. */
  public void limitListAge(long maxAgeNanos) {
    deliverEvent(null, () -> balancer.limitListAge(clock.nowNanos(), maxAgeNanos));
  }

  /** Discovery has said that the list is current, after all news of it. */
  public void onListConfirmed() {
    deliverEvent(null, () -> balancer.onListConfirmed(clock.nowNanos()));
  }

  /** Discovery is to be asked at another address from now on. */
  public void onDiscoveryMoved() {
    deliverEvent(null, () -> balancer.onDiscoveryMoved(clock.nowNanos()));
  }

  // ---- the module's actions ----

  @Override
  public void send(long requestId, long serverId, long timeoutNanos) {
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
    RequestLog.logRetry(request, now);
    if (request.completed
        || now >= request.deadlineNanos
        || attempt.number >= request.maxAttempts
        || !request.payload.isRepeatable()
        || !maySend(attempt)
        || !request.payload.start(attempt)) {
      upstream.inFlight++; // Taken back with the outcome, like that of any attempt.
      complete(attempt, Outcome.MOOT, null);
      return;
    }
    if (attempt.open && timeoutNanos > 0 && timeoutNanos < request.deadlineNanos) {
      long leftNanos = Math.max(0, timeoutNanos - now);
      attempt.timeout = loop.schedule(() -> timeOutAttempt(attempt), leftNanos, NANOSECONDS);
    }
  }

  @Override
  public void cancel(long requestId, int number) {
    LiveRequest request = requests.get(requestId);
    if (request != null && number >= 0 && number < request.attempts.size()) {
      cancelAttempt(request.attempts.get(number));
    }
  }

  @Override
  public void refuse(long requestId, long retryAfterNanos) {
    LiveRequest request = requests.get(requestId);
    if (request != null && !request.completed) {
      request.retryAfterNanos = retryAfterNanos;
      if (overflowRouter != null) {
        overflowRouter.onLocalRefusal(request.caller.mayOverflow());
      }
      if (!sendOverflow(request)) {
        sendRefusal(request);
      }
    }
  }

  @Override
  public void givingUp(long requestId, GiveUp reason) {
    LiveRequest request = requests.get(requestId);
    if (request != null) {
      request.giveUpReason = reason;
    }
  }

  private void sendRefusal(LiveRequest request) {
    counters.refused++;
    RequestLog.logRefusal(request, clock.nowNanos());
    Answer lastError = request.takeLastError(); // Else it ends with the request.
    markCompleted(request);
    request.caller.refuse(request.retryAfterNanos, lastError);
  }

  @Override
  public void fail(long requestId) {
    LiveRequest request = requests.get(requestId);
    if (request != null && !request.completed) {
      sendFailure(request);
    }
  }

  private void sendFailure(LiveRequest request) {
    counters.failed++;
    RequestLog.logFailure(request, clock.nowNanos());
    Answer lastError = request.takeLastError();
    markCompleted(request);
    request.caller.fail(lastError);
  }

  @Override
  public void setTimer(long delayNanos, long token) {
    loop.schedule(
        () -> deliverEvent(null, () -> balancer.onTimer(clock.nowNanos(), token)),
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
