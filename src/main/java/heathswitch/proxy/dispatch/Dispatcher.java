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
 * Executes the actions of the decision module and reports events to it. All policy is the module's:
 * the choice of the upstream, and whether to retry, refuse or fail a request.
 */
public final class Dispatcher implements Actions, LiveRequest.Listener {
  /** The calls to discovery that are made on behalf of the decision module. */
  public interface Discovery {
    void watch(boolean enable);

    void fetch();
  }

  /** Modifies the list entries from discovery before they are applied. */
  public interface Overlay {
    /** Returns the entries to use in place of the given ones. */
    List<Member> apply(ListUpdate update, List<Member> entries);
  }

  /** Blocks all sending while it is closed; checked right before the first byte of an attempt. */
  public interface SendGate {
    boolean isOpen();
  }

  /** Upper bound of the retry-after interval of a refusal for which the module has set none. */
  private static final long DEFAULT_RETRY_AFTER_NANOS = 500_000_000L;

  /** A request without a decision this long after its deadline is failed by the dispatcher. */
  private static final long DECISION_GRACE_NANOS = 10_000_000L;

  private final EventExecutor loop;
  private final Clock clock;
  private Settings settings;
  private final Map<String, RequestClass> classes = new HashMap<>();
  private final Map<Long, LiveRequest> requests = new HashMap<>();

  /** The client-supplied ids of the requests that have not been answered. */
  private final Set<String> openRequestNames = new HashSet<>();

  /** The ids of requests that may have had an effect, at any process of this balancer. */
  private UsedRequestIds usedRequestIds = UsedRequestIds.unshared();

  private final Map<String, Upstream> upstreams = new HashMap<>();
  private final Map<Long, Upstream> upstreamsById = new HashMap<>();
  private final ArrayDeque<Runnable> pendingEvents = new ArrayDeque<>();
  private final List<Transport> transports = new ArrayList<>();
  private final Balancer balancer;
  public final Counters counters = new Counters();
  private Discovery discovery;

  /** Applied in this order, each to the result of the one before. */
  private final List<Overlay> overlays = new ArrayList<>();

  /** Null if sending is never blocked. */
  private SendGate sendGate;

  /** Forwards requests that have no local capacity; may be null. */
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

  /** Adds the transport of a protocol. To be called before the start. */
  public void addTransport(Transport transport) {
    transports.add(transport);
  }

  /** Adds an overlay that is applied after those added before. To be called before the start. */
  public void addOverlay(Overlay overlay) {
    overlays.add(overlay);
  }

  /** Sets the gate that can block all sending. To be called before the start. */
  public void setSendGate(SendGate gate) {
    sendGate = gate;
  }

  /** Sets the router for requests without local capacity. To be called before the start. */
  public void setOverflowRouter(OverflowRouter router) {
    overflowRouter = router;
  }

  /** Sets the table of used ids that the processes share. To be called before the start. */
  public void setUsedRequestIds(UsedRequestIds shared) {
    usedRequestIds = shared;
  }

  private void closeIdle(Upstream upstream) {
    transports.forEach(transport -> transport.closeIdle(upstream));
  }

  /** Starts the module with the list that this balancer last had. */
  public void start(Discovery discovery, List<Member> knownMembers) {
    this.discovery = discovery;
    deliverEvent(null, () -> balancer.start(clock.nowNanos()));
    onListUpdate(ListUpdate.STALE_FULL, knownMembers);
  }

  /** Replaces the settings for new requests. Open requests keep the settings they started with. */
  public void reload(Settings newSettings) {
    settings = newSettings;
    reloadCount++;
    classes.clear();
    newSettings.classes().forEach(type -> classes.put(type.name(), type));
    balancer.reload(newSettings);
  }

  /**
   * How often the settings have been replaced. Values derived from a request class before the last
   * replacement may be outdated.
   */
  public int reloadCount() {
    return reloadCount;
  }

  /** The number of requests received since the start. */
  public long requestCount() {
    return nextRequestId - 1;
  }

  public RequestClass requestClass(String name) {
    return name == null ? null : classes.get(name);
  }

  /** Whether a request with this id is waiting for its answer. */
  public boolean isRequestOpen(String name) {
    return openRequestNames.contains(name);
  }

  /**
   * Whether a request with this id is waiting for its answer, or may have had an effect. Ids are
   * unique, so a second request with the same id is a client error or a forgery, and an upstream
   * could not tell the two apart.
   */
  public boolean isIdUsed(String name) {
    return isRequestOpen(name) || usedRequestIds.contains(name);
  }

  /** The state of the decision module as text. */
  public String figures() {
    return balancer.summary(clock.nowNanos());
  }

  /** The number of attempts in flight at the matching upstreams, listed or not. */
  public int inFlight(Predicate<Upstream> matching) {
    int attempts = 0;
    for (Upstream upstream : upstreams.values()) {
      attempts += upstream.inFlight > 0 && matching.test(upstream) ? upstream.inFlight : 0;
    }
    return attempts;
  }

  /**
   * For at most this many servers, by name: calls in flight, window, and 1 if the server is
   * considered unhealthy.
   */
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

  /** The number of upstreams with an open connection. */
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

  // ---- events for the decision module ----

  /**
   * Delivers an event to the module, one at a time. An event that an action causes synchronously,
   * such as a failed connect, is queued and never delivered inside the call that caused it. An
   * exception fails the request that the event belongs to and nothing else.
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
   * Accepts a request; its time limit runs from now.
   *
   * @param name the client-supplied id, which no open request has
   */
  public void onRequest(
      Caller caller,
      RequestClass requestClass,
      String name,
      String tenant,
      boolean isRetry,
      long ttlNanos,
      RequestProtocol protocol,
      Payload payload) {
    LiveRequest request =
        new LiveRequest(
            nextRequestId++, name, caller, requestClass, payload, clock.nowNanos(), ttlNanos, this);
    request.maxAttempts = settings.limits().maxAttempts();
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
              clock.nowNanos(),
              request.id,
              requestClass.name(),
              tenant,
              ttlNanos,
              isRetry,
              protocol);
          overflowIfHeldBack(request);
        });
  }

  /** At the deadline, open attempts time out and the module decides on the answer. */
  private void onDeadline(LiveRequest request) {
    for (LiveRequest.DispatchedAttempt attempt : List.copyOf(request.attempts)) {
      timeOutAttempt(attempt);
    }
    if (!request.completed) {
      loop.schedule(() -> failWithoutDecision(request), DECISION_GRACE_NANOS, NANOSECONDS);
    }
  }

  /**
   * The only check of whether an attempt may be sent, made right before its first byte. A slow
   * connect may complete after the client has disconnected, after the upstream was told to drain or
   * after the window in which a keyed request may be repeated. The gate, which closes by the clock,
   * is checked last: a process that is suspended between this check and the write sends one request
   * when it resumes.
   */
  private boolean maySend(LiveRequest.DispatchedAttempt attempt) {
    LiveRequest request = attempt.request;
    return attempt.open
        && !request.completed
        && clock.nowNanos() < request.deadlineNanos
        && request.caller.isStillWaiting()
        && attempt.open
        && (attempt.overflow || balancer.mayBegin(clock.nowNanos(), request.id, attempt.number))
        && (sendGate == null || sendGate.isOpen());
  }

  @Override
  public boolean mayWrite(LiveRequest.DispatchedAttempt attempt) {
    if (!maySend(attempt) || !claimId(attempt.request)) {
      return false;
    }
    if (!attempt.overflow) {
      balancer.onBegun(clock.nowNanos(), attempt.request.id, attempt.number);
    }
    return true;
  }

  @Override
  public void requestWritten(LiveRequest.DispatchedAttempt attempt) {
    if (!attempt.overflow) {
      balancer.onWritten(clock.nowNanos(), attempt.request.id, attempt.number);
    }
  }

  /** Claims the id of a request that may take effect, before the first byte of its attempts. */
  private boolean claimId(LiveRequest request) {
    if (!request.idClaimed && !isSafe(request)) {
      request.idClaimed = usedRequestIds.claim(request.name);
      return request.idClaimed;
    }
    return true;
  }

  private void timeOutAttempt(LiveRequest.DispatchedAttempt attempt) {
    if (!attempt.open) {
      return;
    }
    if (attempt.upstream().silentSinceNanos <= attempt.sentNanos) {
      closeIdle(attempt.upstream()); // Nothing received since the send: all are suspect.
    }
    complete(attempt, Outcome.TIMEOUT, null);
    attempt.cancel();
  }

  /**
   * Guarantees that a request is answered: fails it if the module threw an exception or made no
   * decision.
   */
  private void failWithoutDecision(LiveRequest request) {
    if (!request.completed) {
      Log.warn(
          "no decision",
          "request " + request.id + " failed by the dispatcher",
          "request",
          Long.toString(request.id));
      Answer lastError = request.takeLastError();
      markCompleted(request);
      request.caller.fail(lastError);
      cancelAllAttempts(request);
    }
  }

  /**
   * Fails all requests without waiting for decisions, for example because the process is about to
   * be killed. Requests that are accepted from now on, such as those whose body was slow to arrive,
   * are refused at once, as nothing of them has run.
   */
  public void failAll() {
    refusingAll = true;
    for (LiveRequest request : List.copyOf(requests.values())) {
      failWithoutDecision(request);
    }
  }

  /** Drops a request whose caller is gone and cancels its attempts, including a started stream. */
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
    deliverEvent(null, () -> balancer.onClientGone(clock.nowNanos(), request.id));
    for (LiveRequest.DispatchedAttempt attempt : List.copyOf(request.attempts)) {
      cancelAttempt(attempt);
    }
  }

  private void cancelAttempt(LiveRequest.DispatchedAttempt attempt) {
    if (attempt.open) {
      complete(attempt, Outcome.CANCELLED, null);
      attempt.cancel();
    }
  }

  @Override
  public void answerStalled(LiveRequest.DispatchedAttempt attempt, boolean mayBeLong) {
    LiveRequest request = attempt.request;
    if (!attempt.open || request.completed || attempt.stalled) {
      return;
    }
    attempt.stalled = true;
    counters.stalledAnswers++;
    RequestLog.logStall(request, clock.nowNanos());
    if (!attempt.overflow) {
      deliverEvent(
          request,
          () -> balancer.onAnswerStalled(clock.nowNanos(), request.id, attempt.number, mayBeLong));
    }
  }

  /** Starts streaming an answer: the request is completed, while its attempt remains open. */
  @Override
  public boolean beginStreaming(LiveRequest.DispatchedAttempt attempt) {
    LiveRequest request = attempt.request;
    if (!attempt.open || request.completed) {
      return false;
    }
    long now = clock.nowNanos();
    long tookNanos = now - Math.max(attempt.sentNanos, request.bodyCompleteNanos);
    attempt.streaming = true;
    if (overflowRouter != null && !attempt.overflow) {
      overflowRouter.onLocalAnswer(request.requestClass, now - request.bodyCompleteNanos);
    }
    markCompleted(request);
    counters.served++;
    deliverEvent(request, () -> balancer.onAnswerBegun(now, request.id, attempt.number, tookNanos));
    // The module has to be told first: if it learned of another attempt's end while it considers
    // the request open, it would cancel this attempt too.
    for (LiveRequest.DispatchedAttempt other : List.copyOf(request.attempts)) {
      if (other != attempt) {
        cancelAttempt(other); // A caller must not get two answers.
      }
    }
    return true;
  }

  @Override
  public void complete(LiveRequest.DispatchedAttempt attempt, Outcome outcome, Answer answer) {
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
      overflowRouter.onLocalAnswer(request.requestClass, endNanos - request.bodyCompleteNanos);
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

  // ---- overflow to other sites ----

  /** Forwards a request at once that the module holds back for lack of capacity. */
  private void overflowIfHeldBack(LiveRequest request) {
    if (!request.completed && request.openAttempts == 0 && sendOverflow(request)) {
      balancer.onClientGone(clock.nowNanos(), request.id);
    }
  }

  /**
   * Forwards a request that has not run on any local server to another site; false if no site takes
   * it. True also if the client turns out to have disconnected, which completes the request.
   */
  private boolean sendOverflow(LiveRequest request) {
    long now = clock.nowNanos();
    // The number of local attempts that never ran doesn't matter: if a whole site is lost, they
    // all fail at once.
    if (overflowRouter == null || !request.neverRan || !request.caller.mayOverflow()) {
      return false;
    }
    if (!request.caller.isStillWaiting()) {
      return request.completed;
    }
    Upstream site =
        overflowRouter.chooseSite(
            request.requestClass,
            request.payload,
            request.deadlineNanos - now,
            request.overflowAttempts);
    if (site == null) {
      return false;
    }
    LiveRequest.DispatchedAttempt attempt =
        new LiveRequest.DispatchedAttempt(request, request.attempts.size(), site, now, this);
    attempt.overflow = true;
    request.attempts.add(attempt);
    request.openAttempts++;
    request.overflowAttempts++;
    site.inFlight++;
    if (!claimId(request)
        || !overflowRouter.start(attempt, request.requestClass, request.payload)) {
      complete(attempt, Outcome.MOOT, null);
    }
    return true;
  }

  /**
   * Ends an attempt at another site. A request that never ran is forwarded once more or refused;
   * otherwise the request's effect decides between refusal and failure.
   */
  private void onOverflowEnded(
      LiveRequest.DispatchedAttempt attempt, Outcome outcome, long nowNanos) {
    LiveRequest request = attempt.request;
    request.openAttempts--;
    overflowRouter.onEnd(
        attempt.upstream(), request.requestClass, outcome, nowNanos - attempt.sentNanos);
    if (!request.completed && outcome == Outcome.RESET && isSafe(request)) {
      request.neverRan = true; // A safe request may run twice, so it survives a lost link.
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
    return request.requestClass.effect() == RequestClass.Effect.SAFE;
  }

  private static void releaseAnswer(Answer answer) {
    if (answer != null) {
      answer.release();
    }
  }

  /** Marks a request as completed; nothing is sent for it any more. */
  private void markCompleted(LiveRequest request) {
    request.completed = true;
    openRequestNames.remove(request.name);
    request.deadline.cancel(false);
    removeIfFinished(request);
  }

  private void removeIfFinished(LiveRequest request) {
    if (request.isFinished() && requests.remove(request.id) != null) {
      if (request.idClaimed && request.neverRan) {
        usedRequestIds.release(request.name);
      }
      request.release();
    }
  }

  // ---- updates from discovery ----

  public void onListUpdate(ListUpdate update, List<Member> entries) {
    applyOverlays(0, update, entries);
  }

  /**
   * Applies entries whose meaning an overlay has changed without an update from discovery.
   *
   * @param overlay the overlay that made the change; those after it are applied to the entries
   */
  public void onOverlayChanged(Overlay overlay, List<Member> entries) {
    applyOverlays(overlays.indexOf(overlay) + 1, ListUpdate.UNSOLICITED_DELTA, entries);
  }

  private void applyOverlays(int firstOverlay, ListUpdate update, List<Member> entries) {
    List<Member> members = entries;
    for (Overlay overlay : overlays.subList(firstOverlay, overlays.size())) {
      members = overlay.apply(update, members);
    }
    applyList(update, members);
  }

  private void applyList(ListUpdate update, List<Member> entries) {
    Set<Upstream> listed = new HashSet<>();
    List<ServerEntry> serverEntries = new ArrayList<>();
    for (Member entry : entries) {
      Upstream upstream = upstreams.computeIfAbsent(entry.id(), this::newUpstream);
      listed.add(upstream);
      updateUpstream(upstream, entry);
      serverEntries.add(entry.toServerEntry(upstream.id));
    }
    if (update.isFull()) {
      for (Upstream upstream : upstreams.values()) {
        if (!listed.contains(upstream)) {
          upstream.outOfService = true;
          upstream.removed = true;
          closeIdle(upstream);
        }
      }
    }
    deliverEvent(null, () -> balancer.onListUpdate(clock.nowNanos(), update, serverEntries));
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
    if (addressChanged || restarted) {
      upstream.generation++;
    }
    upstream.startedMillis = entry.startedMillis();
    upstream.outOfService = entry.health() != Health.READY;
    upstream.removed = entry.health() == Health.GONE;
    if (addressChanged || restarted || upstream.outOfService) {
      closeIdle(upstream);
    }
  }

  /**
   * Forgets a removed upstream that has no attempts in flight. Machines are replaced under new
   * names, so upstreams would otherwise accumulate while the process runs.
   */
  private boolean forgetIfUnused(Upstream upstream) {
    boolean forget = upstream.removed && upstream.inFlight == 0;
    if (forget) {
      upstreamsById.remove(upstream.id);
    }
    return forget;
  }

  /**
   * Reports that a call to discovery failed or its watch broke.
   *
   * @param failure the kind of failure
   */
  public void onDiscoveryFailed(ListUpdate failure) {
    deliverEvent(null, () -> balancer.onListUpdate(clock.nowNanos(), failure, List.of()));
  }

  /** Limits how long a list is valid without being confirmed. */
  public void limitListAge(long propagationNanos) {
    deliverEvent(null, () -> balancer.limitListAge(clock.nowNanos(), propagationNanos));
  }

  /** Reports that discovery has confirmed the list as current, after all its updates. */
  public void onListConfirmed() {
    deliverEvent(null, () -> balancer.onListConfirmed(clock.nowNanos()));
  }

  /** Reports that discovery is reached at another address from now on. */
  public void onDiscoveryMoved() {
    deliverEvent(null, () -> balancer.onDiscoveryMoved(clock.nowNanos()));
  }

  // ---- actions of the decision module ----

  @Override
  public void send(long requestId, long serverId, long attemptDeadlineNanos) {
    LiveRequest request = requests.get(requestId);
    Upstream upstream = upstreamsById.get(serverId);
    if (request == null || upstream == null) {
      throw new IllegalStateException(
          "unknown request or server: send request " + requestId + " to server " + serverId);
    }
    long now = clock.nowNanos();
    LiveRequest.DispatchedAttempt attempt =
        new LiveRequest.DispatchedAttempt(request, request.attempts.size(), upstream, now, this);
    request.attempts.add(attempt);
    request.openAttempts++;
    RequestLog.logRetry(request, now);
    if (request.completed
        || now >= request.deadlineNanos
        || attempt.number >= request.maxAttempts
        || !request.payload.isRepeatable()
        || !maySend(attempt)
        || !request.payload.start(attempt)) {
      upstream.inFlight++; // Decremented with the outcome, as for every attempt.
      complete(attempt, Outcome.MOOT, null);
      return;
    }
    if (attempt.open && attemptDeadlineNanos > 0 && attemptDeadlineNanos < request.deadlineNanos) {
      long leftNanos = Math.max(0, attemptDeadlineNanos - now);
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
  public void reportUnserved(long requestId, UnservedReason reason) {
    LiveRequest request = requests.get(requestId);
    if (request != null) {
      request.giveUpReason = reason;
    }
  }

  private void sendRefusal(LiveRequest request) {
    counters.refused++;
    RequestLog.logRefusal(request, clock.nowNanos());
    Answer lastError = request.takeLastError(); // Otherwise it is released with the request.
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
