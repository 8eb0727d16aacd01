package heathswitch.testbed.explore;

import heathswitch.policy.api.Health;
import heathswitch.policy.api.ListUpdate;
import heathswitch.policy.api.Outcome;
import heathswitch.policy.api.RequestClass;
import heathswitch.policy.api.RequestProtocol;
import heathswitch.policy.api.Settings;
import heathswitch.proxy.dispatch.Dispatcher;
import heathswitch.proxy.dispatch.Member;
import heathswitch.proxy.dispatch.OverflowRouter;
import heathswitch.proxy.runtime.Clock;
import heathswitch.proxy.spi.Answer;
import heathswitch.proxy.spi.Attempt;
import heathswitch.proxy.spi.Caller;
import heathswitch.proxy.spi.Payload;
import heathswitch.proxy.spi.RequestHandle;
import heathswitch.proxy.spi.Upstream;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;

/**
 * Runs the real dispatcher and the real decision module in virtual time, between two callers and a
 * few servers that are simulated by a sequence of steps. Checks the invariants after each step and
 * once more when all activity has ended.
 */
public final class DispatchHarness {
  private static final long MS = 1_000_000L;
  private static final long DEADLINE_NANOS = 4000 * MS;
  private static final long GRACE_NANOS = 50 * MS;
  private static final long KEY_WINDOW_NANOS = 2000 * MS;
  private static final int MAX_ATTEMPTS = 3;

  /** Takes the place of a server's index for calls to the overflow site. */
  private static final int OVERFLOW_SITE = -1;

  /**
   * What stays constant during a sequence of steps.
   *
   * @param tier 0 refuses at once for lack of capacity, deeper tiers queue
   * @param hasOverflowSite whether there is another site; requests of kind B may not go there
   */
  public record Config(
      RequestClass.Effect effectA,
      RequestClass.Effect effectB,
      RequestProtocol protocol,
      int servers,
      int tier,
      boolean cancelAttempts,
      boolean hasOverflowSite) {}

  private final Config config;
  private final VirtualEventLoop loop = new VirtualEventLoop();
  private final Dispatcher dispatcher;
  private final List<SimulatedRequest> requests = new ArrayList<>();
  private final List<ServerCall> calls = new ArrayList<>();
  private final Set<Invariant> violations = EnumSet.noneOf(Invariant.class);
  private final Health[] health;
  private final long[] startedNanos;
  private boolean descriptorShortage;
  private boolean failSynchronously;
  private boolean noOverflowSite;
  private boolean reloaded;

  /** Attempts at the overflow site whose end has not been reported to its router. */
  private int overflowInFlight;

  /** Requests served by a local server that have not been reported to the overflow router. */
  private int unreportedLocalAnswers;

  public DispatchHarness(Config config) {
    this.config = config;
    health = new Health[config.servers()];
    startedNanos = new long[config.servers()];
    java.util.Arrays.fill(health, Health.READY);
    dispatcher = new Dispatcher(loop, new Clock(loop::nowNanos), settings(), 7);
    if (config.hasOverflowSite()) {
      dispatcher.setOverflowRouter(new RemoteSite());
    }
    dispatcher.start(new NoDiscovery(), members());
  }

  private Settings settings() {
    return new Settings(
        List.of(requestClass("a", currentEffect(true)), requestClass("b", currentEffect(false))),
        List.of(),
        1,
        false,
        config.tier(),
        0,
        1,
        "z",
        false,
        new Settings.Limits(MAX_ATTEMPTS, true, currentlyCancels(), 5000 * MS, 250 * MS, 1000 * MS),
        new Settings.Obligations(20 * MS, 1000 * MS, 10_000 * MS, 0.15, 1000 * MS, 2.5, 2000 * MS));
  }

  /** The effect of a request that arrives now; a reload swaps the effects of kinds A and B. */
  private RequestClass.Effect currentEffect(boolean isA) {
    return isA == reloaded ? config.effectB() : config.effectA();
  }

  /** Whether attempts of a request that arrives now may be cancelled; a reload inverts this. */
  private boolean currentlyCancels() {
    return config.cancelAttempts() != reloaded;
  }

  private static RequestClass requestClass(String name, RequestClass.Effect effect) {
    return new RequestClass(
        name,
        effect,
        RequestClass.Group.CELL,
        1000 * MS,
        DEADLINE_NANOS,
        KEY_WINDOW_NANOS,
        1,
        0.2,
        false);
  }

  private static final class NoDiscovery implements Dispatcher.Discovery {
    @Override
    public void watch(boolean enable) {}

    @Override
    public void fetch() {}
  }

  private List<Member> members() {
    List<Member> members = new ArrayList<>();
    for (int i = 0; i < health.length; i++) {
      InetSocketAddress address =
          health[i] == Health.GONE ? null : InetSocketAddress.createUnresolved("s" + i, 80);
      members.add(
          new Member("s" + i, address, address, health[i], "z", "k", i, 1, startedNanos[i] / MS));
    }
    return members;
  }

  // ---- simulated parts ----

  /** Another site, which accepts every request while it is available. */
  private final class RemoteSite implements OverflowRouter {
    private static final int MAX_OVERFLOW_ATTEMPTS = 2;

    private final Upstream site = new Upstream(-1, "far");

    @Override
    public Upstream chooseSite(
        RequestClass type, Payload payload, long leftNanos, int earlierAttempts) {
      if (noOverflowSite || earlierAttempts >= MAX_OVERFLOW_ATTEMPTS || leftNanos <= 0) {
        return null;
      }
      overflowInFlight++;
      return site;
    }

    @Override
    public boolean start(Attempt attempt, RequestClass type, Payload payload) {
      return ((SimulatedRequest) payload).startOverflow(attempt);
    }

    @Override
    public void onEnd(Upstream endedSite, RequestClass type, Outcome outcome, long tookNanos) {
      if (--overflowInFlight < 0) {
        violations.add(Invariant.OVERFLOW_ROUTER_NOTIFIED);
      }
    }

    @Override
    public void onLocalRefusal(boolean own) {}

    @Override
    public void onLocalAnswer(RequestClass type, long tookNanos) {
      unreportedLocalAnswers--;
    }
  }

  /** A request with its caller and its payload. */
  private final class SimulatedRequest implements Caller, Payload {
    final boolean isA;
    final String name = "r" + (requests.size() + 1);
    final RequestClass.Effect effect;
    final boolean cancelsAttempts = currentlyCancels();
    final long deadlineNanos = loop.nowNanos() + DEADLINE_NANOS;
    final List<ServerCall> calls = new ArrayList<>();
    RequestHandle handle;
    int answerCount;
    boolean callerGone;
    boolean disconnectUnread;
    boolean streaming;
    int releaseCount;

    SimulatedRequest(boolean isA) {
      this.isA = isA;
      this.effect = currentEffect(isA);
    }

    boolean completed() {
      return callerGone || answerCount > 0;
    }

    private void recordAnswer() {
      if (++answerCount > 1 || callerGone) {
        violations.add(Invariant.EXACTLY_ONE_ANSWER);
      }
      if (loop.nowNanos() > deadlineNanos + GRACE_NANOS) {
        violations.add(Invariant.ANSWER_BY_DEADLINE);
      }
    }

    /** The earliest attempt that is in flight or may have run, or null. */
    private ServerCall firstPossiblyRun() {
      return calls.stream().filter(call -> !call.ended || call.mayHaveRun).findFirst().orElse(null);
    }

    @Override
    public void accepted(RequestHandle newHandle) {
      handle = newHandle;
    }

    @Override
    public boolean mayOverflow() {
      return isA;
    }

    @Override
    public boolean isStillWaiting() {
      if (disconnectUnread && !completed()) {
        disconnect(this);
      }
      return !disconnectUnread;
    }

    @Override
    public void serve(Answer answer) {
      recordAnswer();
      SimulatedAnswer simulated = (SimulatedAnswer) answer;
      if (simulated == null || simulated.request != this) {
        violations.add(Invariant.ANSWER_BELONGS_TO_REQUEST);
      } else if (simulated.local) {
        unreportedLocalAnswers++;
      }
      release(answer);
    }

    @Override
    public void refuse(long retryAfterNanos, Answer last) {
      recordAnswer();
      if (effect == RequestClass.Effect.UNSAFE && firstPossiblyRun() != null) {
        violations.add(Invariant.UNSAFE_NOT_REFUSED);
      }
      release(last);
    }

    @Override
    public void fail(Answer last) {
      recordAnswer();
      release(last);
    }

    private void release(Answer answer) {
      if (answer != null) {
        if (((SimulatedAnswer) answer).request != this) {
          violations.add(Invariant.ANSWER_BELONGS_TO_REQUEST);
        }
        answer.release();
      }
    }

    private boolean startOverflow(Attempt attempt) {
      checkMaySend();
      if (!isA) {
        violations.add(Invariant.NO_SECOND_OVERFLOW);
      }
      if (calls.stream().filter(call -> call.server == OVERFLOW_SITE).count()
          >= RemoteSite.MAX_OVERFLOW_ATTEMPTS) {
        violations.add(Invariant.OVERFLOW_ATTEMPT_LIMIT);
      }
      for (ServerCall call : calls) {
        boolean safeRetry =
            call.server == OVERFLOW_SITE && call.ended && effect == RequestClass.Effect.SAFE;
        if (!safeRetry && (!call.ended || call.mayHaveRun)) {
          violations.add(Invariant.NO_OVERFLOW_AFTER_RUN);
        }
      }
      return !descriptorShortage && startCall(attempt, OVERFLOW_SITE);
    }

    private void checkMaySend() {
      if (completed()) {
        violations.add(Invariant.NO_SEND_AFTER_ANSWER);
      }
      if (disconnectUnread) {
        violations.add(Invariant.NO_SEND_AFTER_DISCONNECT);
      }
      if (loop.nowNanos() >= deadlineNanos) {
        violations.add(Invariant.NO_SEND_AFTER_DEADLINE);
      }
    }

    private boolean startCall(Attempt attempt, int server) {
      ServerCall call = new ServerCall(this, attempt, server);
      calls.add(call);
      DispatchHarness.this.calls.add(call);
      attempt.attach(call);
      if (failSynchronously) {
        call.complete(Outcome.CONNECT_FAILED, false);
      }
      return true;
    }

    @Override
    public boolean start(Attempt attempt) {
      checkMaySend();
      if (calls.stream().anyMatch(call -> call.server == OVERFLOW_SITE)) {
        violations.add(Invariant.NO_LOCAL_SEND_AFTER_OVERFLOW);
      }
      Upstream upstream = attempt.upstream();
      int server = upstream.name.charAt(1) - '0';
      if (health[server] != Health.READY) {
        violations.add(Invariant.NO_SEND_TO_DRAINED_SERVER);
      }
      if (attempt.number() >= MAX_ATTEMPTS) {
        violations.add(Invariant.ATTEMPT_LIMIT);
      }
      if (!config.protocol().hedgeable() && calls.stream().anyMatch(call -> !call.ended)) {
        violations.add(Invariant.STREAM_NOT_HEDGED);
      }
      ServerCall earlier = firstPossiblyRun();
      if (earlier != null && effect == RequestClass.Effect.UNSAFE) {
        violations.add(Invariant.UNSAFE_NOT_RETRIED);
      }
      if (earlier != null
          && effect == RequestClass.Effect.KEYED
          && (earlier.server != server
              || loop.nowNanos() - earlier.sentNanos >= KEY_WINDOW_NANOS)) {
        violations.add(Invariant.KEYED_RETRY_IN_WINDOW);
      }
      if (descriptorShortage) {
        return false;
      }
      upstream.inFlight++;
      return startCall(attempt, server);
    }

    @Override
    public void release() {
      releaseCount++;
    }
  }

  /** An answer that knows its request. */
  private final class SimulatedAnswer implements Answer {
    final SimulatedRequest request;
    final boolean local;
    int releaseCount;

    SimulatedAnswer(SimulatedRequest request, boolean local) {
      this.request = request;
      this.local = local;
      answers.add(this);
    }

    @Override
    public void release() {
      releaseCount++;
    }
  }

  private final List<SimulatedAnswer> answers = new ArrayList<>();

  /** An attempt as seen by its server. */
  private final class ServerCall implements Attempt.Exchange {
    final SimulatedRequest request;
    final Attempt attempt;
    final int server;
    final long sentNanos = loop.nowNanos();
    boolean ended;
    boolean mayHaveRun;
    boolean streaming;

    ServerCall(SimulatedRequest request, Attempt attempt, int server) {
      this.request = request;
      this.attempt = attempt;
      this.server = server;
    }

    void complete(Outcome outcome, boolean withAnswer) {
      ended = true;
      mayHaveRun = !outcome.neverRan();
      boolean hasAnswer = withAnswer || outcome == Outcome.OK;
      attempt.complete(
          outcome, hasAnswer ? new SimulatedAnswer(request, server != OVERFLOW_SITE) : null);
    }

    @Override
    public void cancel() {
      if (streaming) {
        violations.add(Invariant.STREAMING_ATTEMPT_KEPT);
      }
      ended = true;
      mayHaveRun = true;
    }
  }

  // ---- steps ----

  private ServerCall oldestCall() {
    return calls.stream().filter(call -> !call.ended).findFirst().orElse(null);
  }

  private ServerCall newestCall() {
    ServerCall newest = null;
    for (ServerCall call : calls) {
      newest = call.ended ? newest : call;
    }
    return newest == oldestCall() ? null : newest;
  }

  private SimulatedRequest openRequest(boolean isA) {
    return requests.stream()
        .filter(request -> request.isA == isA && !request.completed())
        .findFirst()
        .orElse(null);
  }

  private SimulatedRequest oldestOpenRequest() {
    return requests.stream().filter(request -> !request.completed()).findFirst().orElse(null);
  }

  /** Whether the step can happen now. */
  public boolean enabled(Step step) {
    return switch (step) {
      case REQUEST_A -> openRequest(true) == null;
      case REQUEST_B -> openRequest(false) == null;
      case OK, ERROR, ERROR_WITH_ANSWER, REFUSED, CONNECT_FAILED, RESET -> oldestCall() != null;
      case OK_NEWEST, ERROR_NEWEST -> newestCall() != null;
      case BEGIN_STREAMING -> oldestCall() != null && !oldestCall().request.streaming;
      case LATE_OK -> calls.stream().anyMatch(call -> call.ended);
      case DISCONNECT_A -> openRequest(true) != null;
      case DISCONNECT_B -> openRequest(false) != null;
      case UNREAD_DISCONNECT_A -> openRequest(true) != null && !openRequest(true).disconnectUnread;
      case RELOAD -> !reloaded;
      case TIMER -> loop.nextDeadlineNanos() >= 0;
      case DEADLINE -> oldestOpenRequest() != null;
      case DRAIN_SERVER -> health[0] == Health.READY;
      case REMOVE_SERVER -> health[0] != Health.GONE;
      case RELIST_SERVER -> health[0] != Health.READY;
      case DESCRIPTOR_SHORTAGE -> !descriptorShortage;
      case FAIL_SYNCHRONOUSLY -> !failSynchronously && !descriptorShortage;
      case NO_OVERFLOW_SITE -> config.hasOverflowSite() && !noOverflowSite;
    };
  }

  /** Plays one step that is enabled. */
  public void play(Step step) {
    try {
      switch (step) {
        case REQUEST_A -> request(true);
        case REQUEST_B -> request(false);
        case OK -> oldestCall().complete(Outcome.OK, true);
        case ERROR -> oldestCall().complete(Outcome.ERROR, false);
        case ERROR_WITH_ANSWER -> oldestCall().complete(Outcome.ERROR, true);
        case REFUSED -> oldestCall().complete(Outcome.REFUSED, false);
        case CONNECT_FAILED -> oldestCall().complete(Outcome.CONNECT_FAILED, false);
        case RESET -> oldestCall().complete(Outcome.RESET, false);
        case OK_NEWEST -> newestCall().complete(Outcome.OK, true);
        case ERROR_NEWEST -> newestCall().complete(Outcome.ERROR, false);
        case BEGIN_STREAMING -> beginStreaming(oldestCall());
        case LATE_OK -> completeAgain();
        case DISCONNECT_A -> disconnect(openRequest(true));
        case DISCONNECT_B -> disconnect(openRequest(false));
        case UNREAD_DISCONNECT_A -> openRequest(true).disconnectUnread = true;
        case RELOAD -> {
          reloaded = true;
          dispatcher.reload(settings());
        }
        case TIMER -> loop.advanceTo(loop.nextDeadlineNanos());
        case DEADLINE -> loop.advanceTo(oldestOpenRequest().deadlineNanos);
        case DRAIN_SERVER -> updateFirstServer(Health.DRAINING);
        case REMOVE_SERVER -> updateFirstServer(Health.GONE);
        case RELIST_SERVER -> {
          startedNanos[0] = loop.nowNanos();
          updateFirstServer(Health.READY);
        }
        case DESCRIPTOR_SHORTAGE -> descriptorShortage = true;
        case FAIL_SYNCHRONOUSLY -> failSynchronously = true;
        case NO_OVERFLOW_SITE -> noOverflowSite = true;
      }
      loop.runDueTasks();
    } catch (RuntimeException | StackOverflowError e) { // An overflow means endless recursion.
      violations.add(Invariant.NO_EXCEPTION);
    }
    for (ServerCall call : calls) {
      if (!call.ended
          && call.request.cancelsAttempts
          && call.request.completed()
          && !call.streaming) {
        violations.add(Invariant.UNNEEDED_ATTEMPT_CANCELLED);
      }
    }
  }

  private void request(boolean isA) {
    SimulatedRequest request = new SimulatedRequest(isA);
    requests.add(request);
    RequestClass type = dispatcher.requestClass(isA ? "a" : "b");
    dispatcher.onRequest(
        request, type, request.name, null, false, DEADLINE_NANOS, config.protocol(), request);
  }

  private void beginStreaming(ServerCall call) {
    SimulatedRequest request = call.request;
    boolean wasCompleted = request.completed();
    if (call.attempt.beginStreaming()) {
      request.streaming = true;
      call.streaming = true;
      unreportedLocalAnswers += call.server == OVERFLOW_SITE ? 0 : 1;
      if (call.ended) {
        violations.add(Invariant.STREAMING_ATTEMPT_KEPT);
      }
      request.recordAnswer();
      if (wasCompleted) {
        violations.add(Invariant.EXACTLY_ONE_ANSWER);
      }
    }
  }

  private void completeAgain() {
    ServerCall endedCall = calls.stream().filter(call -> call.ended).findFirst().orElseThrow();
    endedCall.attempt.complete(Outcome.OK, new SimulatedAnswer(endedCall.request, true));
  }

  private void disconnect(SimulatedRequest request) {
    request.callerGone = true;
    request.handle.callerGone();
  }

  private void updateFirstServer(Health newHealth) {
    health[0] = newHealth;
    dispatcher.onListUpdate(ListUpdate.DELTA, members().subList(0, 1));
  }

  // ---- at rest ----

  /**
   * Ends all calls in flight, runs all timers and checks for leaks. Returns all violated
   * invariants.
   */
  public Set<Invariant> runToRest() {
    try {
      for (ServerCall call = oldestCall(); call != null; call = oldestCall()) {
        call.complete(Outcome.ERROR, false);
        loop.runDueTasks();
      }
      loop.advanceTo(loop.nowNanos() + 60_000 * MS);
      for (ServerCall call = oldestCall(); call != null; call = oldestCall()) {
        call.complete(Outcome.ERROR, false);
        loop.runDueTasks();
      }
      loop.advanceTo(loop.nowNanos() + 60_000 * MS);
    } catch (RuntimeException e) {
      violations.add(Invariant.NO_EXCEPTION);
    }
    for (SimulatedRequest request : requests) {
      if (request.answerCount == 0 && !request.callerGone) {
        violations.add(Invariant.EXACTLY_ONE_ANSWER);
      }
      if (dispatcher.isRequestOpen(request.name)) {
        violations.add(Invariant.NO_REQUEST_LEAK);
      }
      if (request.releaseCount != 1) {
        violations.add(Invariant.RELEASED_ONCE);
      }
      for (ServerCall call : request.calls) {
        if (call.attempt.upstream().inFlight != 0) {
          violations.add(Invariant.NO_ATTEMPT_LEAK);
        }
      }
    }
    if (answers.stream().anyMatch(answer -> answer.releaseCount != 1)) {
      violations.add(Invariant.RELEASED_ONCE);
    }
    if (dispatcher.loads(health.length).values().stream().anyMatch(load -> load[0] != 0)) {
      violations.add(Invariant.NO_ATTEMPT_LEAK);
    }
    if (overflowInFlight != 0 || config.hasOverflowSite() && unreportedLocalAnswers != 0) {
      violations.add(Invariant.OVERFLOW_ROUTER_NOTIFIED);
    }
    String figures = dispatcher.figures();
    if (dispatcher.liveRequestCount() != 0
        || !figures.startsWith("entry 0 of")
        || !figures.contains("waiting 0, requests 0;")) {
      violations.add(Invariant.NO_REQUEST_LEAK);
    }
    if (loop.nextDeadlineNanos() >= 0) {
      violations.add(Invariant.NO_TIMER_LEAK);
    }
    return violations;
  }

  /** The invariants violated so far. */
  public Set<Invariant> violations() {
    return violations;
  }
}
