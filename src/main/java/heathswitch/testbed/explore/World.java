package heathswitch.testbed.explore;

import heathswitch.policy.api.Health;
import heathswitch.policy.api.ListUpdate;
import heathswitch.policy.api.Outcome;
import heathswitch.policy.api.RequestClass;
import heathswitch.policy.api.RequestProtocol;
import heathswitch.policy.api.Settings;
import heathswitch.proxy.dispatch.Dispatcher;
import heathswitch.proxy.dispatch.Elsewhere;
import heathswitch.proxy.dispatch.Member;
import heathswitch.proxy.runtime.Clock;
import heathswitch.proxy.spi.Answer;
import heathswitch.proxy.spi.Attempt;
import heathswitch.proxy.spi.Caller;
import heathswitch.proxy.spi.Payload;
import heathswitch.proxy.spi.Ticket;
import heathswitch.proxy.spi.Upstream;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;

/**
 * The real dispatcher and the real module between two callers and up to two servers that a sequence
 * of steps plays, in virtual time. It checks the properties as it goes and again at rest.
 */
public final class World {
  private static final long MS = 1_000_000L;
  private static final long DEADLINE = 4000 * MS;
  private static final long GRACE = 50 * MS;
  private static final long KEY_WINDOW = 2000 * MS;
  private static final int MOST_TRIES = 3;

  /** In place of a server's number. */
  private static final int AWAY = -1;

  /**
   * What stays the same through a sequence.
   *
   * @param tier 0 refuses for want of room at once, deeper ones wait
   * @param away whether there is another place, to which requests of the second kind may not go
   */
  public record Setup(
      RequestClass.Effect effectA,
      RequestClass.Effect effectB,
      RequestProtocol form,
      int servers,
      int tier,
      boolean cancel,
      boolean away) {}

  private final Setup setup;
  private final VirtualLoop loop = new VirtualLoop();
  private final Dispatcher dispatcher;
  private final List<Request> requests = new ArrayList<>();
  private final List<Call> calls = new ArrayList<>();
  private final Set<Property> broken = EnumSet.noneOf(Property.class);
  private final Health[] health;
  private final long[] started;
  private boolean shortage;
  private boolean failsAtOnce;
  private boolean nowhereElse;
  private boolean reloaded;

  /** Attempts that the other place was chosen for and has not been told the end of. */
  private int awayOut;

  /** Requests that were served here, and of which the other place has not been told. */
  private int servedUntold;

  public World(Setup setup) {
    this.setup = setup;
    health = new Health[setup.servers()];
    started = new long[setup.servers()];
    java.util.Arrays.fill(health, Health.READY);
    dispatcher = new Dispatcher(loop, new Clock(loop::now), settings(), 7);
    if (setup.away()) {
      dispatcher.overflow(new Away());
    }
    dispatcher.start(new NoDiscovery(), members());
  }

  private Settings settings() {
    return new Settings(
        List.of(type("a", effect(true)), type("b", effect(false))),
        List.of(),
        1,
        false,
        setup.tier(),
        0,
        1,
        "z",
        false,
        new Settings.Limits(MOST_TRIES, true, cancels(), 5000 * MS, 250 * MS, 1000 * MS),
        new Settings.Obligations(20 * MS, 1000 * MS, 10_000 * MS, 0.15, 1000 * MS, 2.5, 2000 * MS));
  }

  /** Of a request that comes now. */
  private RequestClass.Effect effect(boolean first) {
    return first == reloaded ? setup.effectB() : setup.effectA();
  }

  /** Whether attempts of a request that comes now may be called off. */
  private boolean cancels() {
    return setup.cancel() != reloaded;
  }

  private static RequestClass type(String name, RequestClass.Effect effect) {
    return new RequestClass(
        name, effect, RequestClass.Group.CELL, 1000 * MS, DEADLINE, KEY_WINDOW, 1, 0.2, false);
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
      InetSocketAddress at =
          health[i] == Health.GONE ? null : InetSocketAddress.createUnresolved("s" + i, 80);
      members.add(new Member("s" + i, at, at, health[i], "z", "k", i, 1, started[i] / MS));
    }
    return members;
  }

  // ---- what the world is made of ----

  /** Another place, which takes whatever it is given as long as there is one. */
  private final class Away implements Elsewhere {
    private static final int MOST = 2;

    private final Upstream place = new Upstream(-1, "far");

    @Override
    public Upstream choose(RequestClass type, Payload payload, long leftNanos, int tries) {
      if (nowhereElse || tries >= MOST || leftNanos <= 0) {
        return null;
      }
      awayOut++;
      return place;
    }

    @Override
    public boolean start(Attempt attempt, RequestClass type, Payload payload) {
      return ((Request) payload).startAway(attempt);
    }

    @Override
    public void ended(Upstream at, RequestClass type, Outcome outcome, long tookNanos) {
      if (--awayOut < 0) {
        broken.add(Property.AWAY_TOLD);
      }
    }

    @Override
    public void refusedHere(boolean own) {}

    @Override
    public void servedHere(RequestClass type, long tookNanos) {
      servedUntold--;
    }
  }

  /** One request, its caller and its payload. */
  private final class Request implements Caller, Payload {
    final boolean first;
    final String name = "r" + (requests.size() + 1);
    final RequestClass.Effect effect;
    final boolean cancels = cancels();
    final long deadline = loop.now() + DEADLINE;
    final List<Call> calls = new ArrayList<>();
    Ticket ticket;
    int answers;
    boolean gone;
    boolean left;
    boolean begun;
    int released;

    Request(boolean first) {
      this.first = first;
      this.effect = effect(first);
    }

    boolean over() {
      return gone || answers > 0;
    }

    private void answered() {
      if (++answers > 1 || gone) {
        broken.add(Property.ONE_ANSWER);
      }
      if (loop.now() > deadline + GRACE) {
        broken.add(Property.ANSWER_IN_TIME);
      }
    }

    /** The earliest attempt that is out or may have run, or null. */
    private Call binding() {
      return calls.stream().filter(call -> !call.over || call.mayHaveRun).findFirst().orElse(null);
    }

    @Override
    public void taken(Ticket live) {
      ticket = live;
    }

    @Override
    public boolean mayLeave() {
      return first;
    }

    @Override
    public boolean stillWaits() {
      if (left && !over()) {
        gone(this);
      }
      return !left;
    }

    @Override
    public void serve(Answer answer) {
      answered();
      Reply reply = (Reply) answer;
      if (reply == null || reply.request != this) {
        broken.add(Property.OWN_ANSWER);
      } else if (reply.here) {
        servedUntold++;
      }
      release(answer);
    }

    @Override
    public void refuse(long retryAfterNanos, Answer last) {
      answered();
      if (effect == RequestClass.Effect.UNSAFE && binding() != null) {
        broken.add(Property.UNSAFE_REFUSED);
      }
      release(last);
    }

    @Override
    public void fail(Answer last) {
      answered();
      release(last);
    }

    private void release(Answer answer) {
      if (answer != null) {
        if (((Reply) answer).request != this) {
          broken.add(Property.OWN_ANSWER);
        }
        answer.release();
      }
    }

    private boolean startAway(Attempt attempt) {
      soundToSend();
      if (!first) {
        broken.add(Property.SENT_ON);
      }
      if (calls.stream().filter(call -> call.server == AWAY).count() >= Away.MOST) {
        broken.add(Property.TOO_OFTEN_AWAY);
      }
      for (Call call : calls) {
        boolean repeats = call.server == AWAY && call.over && effect == RequestClass.Effect.SAFE;
        if (!repeats && (!call.over || call.mayHaveRun)) {
          broken.add(Property.AWAY_AFTER_RUN);
        }
      }
      return !shortage && begin(attempt, AWAY);
    }

    private void soundToSend() {
      if (over()) {
        broken.add(Property.SENT_AFTER_ANSWER);
      }
      if (left) {
        broken.add(Property.SENT_AFTER_LEAVING);
      }
      if (loop.now() >= deadline) {
        broken.add(Property.SENT_LATE);
      }
    }

    private boolean begin(Attempt attempt, int server) {
      Call call = new Call(this, attempt, server);
      calls.add(call);
      World.this.calls.add(call);
      attempt.carriedBy(call);
      if (failsAtOnce) {
        call.end(Outcome.CONNECT_FAILED, false);
      }
      return true;
    }

    @Override
    public boolean start(Attempt attempt) {
      soundToSend();
      if (calls.stream().anyMatch(call -> call.server == AWAY)) {
        broken.add(Property.HOME_AGAIN);
      }
      Upstream upstream = attempt.upstream();
      int server = upstream.name.charAt(1) - '0';
      if (health[server] != Health.READY) {
        broken.add(Property.SENT_TO_DRAINED);
      }
      if (attempt.number() >= MOST_TRIES) {
        broken.add(Property.TOO_MANY_ATTEMPTS);
      }
      if (!setup.form().hedgeable() && calls.stream().anyMatch(call -> !call.over)) {
        broken.add(Property.SENT_BESIDE);
      }
      Call binding = binding();
      if (binding != null && effect == RequestClass.Effect.UNSAFE) {
        broken.add(Property.UNSAFE_SENT_AGAIN);
      }
      if (binding != null
          && effect == RequestClass.Effect.KEYED
          && (binding.server != server || loop.now() - binding.sentAt >= KEY_WINDOW)) {
        broken.add(Property.KEYED_BOUND);
      }
      if (shortage) {
        return false;
      }
      upstream.attempts++;
      return begin(attempt, server);
    }

    @Override
    public void release() {
      released++;
    }
  }

  /** An answer that says whose it is. */
  private final class Reply implements Answer {
    final Request request;
    final boolean here;
    int released;

    Reply(Request request, boolean here) {
      this.request = request;
      this.here = here;
      replies.add(this);
    }

    @Override
    public void release() {
      released++;
    }
  }

  private final List<Reply> replies = new ArrayList<>();

  /** One attempt as its server sees it. */
  private final class Call implements Attempt.Carrier {
    final Request request;
    final Attempt attempt;
    final int server;
    final long sentAt = loop.now();
    boolean over;
    boolean mayHaveRun;
    boolean passing;

    Call(Request request, Attempt attempt, int server) {
      this.request = request;
      this.attempt = attempt;
      this.server = server;
    }

    void end(Outcome outcome, boolean withAnswer) {
      over = true;
      mayHaveRun = !outcome.neverRan();
      boolean reply = withAnswer || outcome == Outcome.OK;
      attempt.ended(outcome, reply ? new Reply(request, server != AWAY) : null);
    }

    @Override
    public void abandon() {
      if (passing) {
        broken.add(Property.GOES_ON);
      }
      over = true;
      mayHaveRun = true;
    }
  }

  // ---- steps ----

  private Call oldest() {
    return calls.stream().filter(call -> !call.over).findFirst().orElse(null);
  }

  private Call newest() {
    Call newest = null;
    for (Call call : calls) {
      newest = call.over ? newest : call;
    }
    return newest == oldest() ? null : newest;
  }

  private Request open(boolean first) {
    return requests.stream()
        .filter(request -> request.first == first && !request.over())
        .findFirst()
        .orElse(null);
  }

  private Request oldestOpen() {
    return requests.stream().filter(request -> !request.over()).findFirst().orElse(null);
  }

  /** Whether the step can happen now. */
  public boolean enabled(Step step) {
    return switch (step) {
      case ASK_A -> open(true) == null;
      case ASK_B -> open(false) == null;
      case OK, ERROR, ERROR_WITH_ANSWER, REFUSED, CONNECT_FAILED, RESET -> oldest() != null;
      case OK_NEWEST, ERROR_NEWEST -> newest() != null;
      case BEGIN -> oldest() != null && !oldest().request.begun;
      case LATE_OK -> calls.stream().anyMatch(call -> call.over);
      case GONE_A -> open(true) != null;
      case GONE_B -> open(false) != null;
      case LEAVE_UNSEEN_A -> open(true) != null && !open(true).left;
      case RELOAD -> !reloaded;
      case TIMER -> loop.nextDue() >= 0;
      case DEADLINE -> oldestOpen() != null;
      case DRAIN_ONE -> health[0] == Health.READY;
      case REMOVE_ONE -> health[0] != Health.GONE;
      case RELIST_ONE -> health[0] != Health.READY;
      case SHORTAGE -> !shortage;
      case FAILS_AT_ONCE -> !failsAtOnce && !shortage;
      case NOWHERE_ELSE -> setup.away() && !nowhereElse;
    };
  }

  /** Plays one step that is enabled. */
  public void play(Step step) {
    try {
      switch (step) {
        case ASK_A -> ask(true);
        case ASK_B -> ask(false);
        case OK -> oldest().end(Outcome.OK, true);
        case ERROR -> oldest().end(Outcome.ERROR, false);
        case ERROR_WITH_ANSWER -> oldest().end(Outcome.ERROR, true);
        case REFUSED -> oldest().end(Outcome.REFUSED, false);
        case CONNECT_FAILED -> oldest().end(Outcome.CONNECT_FAILED, false);
        case RESET -> oldest().end(Outcome.RESET, false);
        case OK_NEWEST -> newest().end(Outcome.OK, true);
        case ERROR_NEWEST -> newest().end(Outcome.ERROR, false);
        case BEGIN -> begin(oldest());
        case LATE_OK -> late();
        case GONE_A -> gone(open(true));
        case GONE_B -> gone(open(false));
        case LEAVE_UNSEEN_A -> open(true).left = true;
        case RELOAD -> {
          reloaded = true;
          dispatcher.reload(settings());
        }
        case TIMER -> loop.advanceTo(loop.nextDue());
        case DEADLINE -> loop.advanceTo(oldestOpen().deadline);
        case DRAIN_ONE -> list(Health.DRAINING);
        case REMOVE_ONE -> list(Health.GONE);
        case RELIST_ONE -> {
          started[0] = loop.now();
          list(Health.READY);
        }
        case SHORTAGE -> shortage = true;
        case FAILS_AT_ONCE -> failsAtOnce = true;
        case NOWHERE_ELSE -> nowhereElse = true;
      }
      loop.settle();
    } catch (RuntimeException | StackOverflowError e) { // The second is an order without an end.
      broken.add(Property.NO_EXCEPTION);
    }
    for (Call call : calls) {
      if (!call.over && call.request.cancels && call.request.over() && !call.passing) {
        broken.add(Property.CALLED_OFF);
      }
    }
  }

  private void ask(boolean first) {
    Request request = new Request(first);
    requests.add(request);
    RequestClass type = dispatcher.requestClass(first ? "a" : "b");
    dispatcher.onRequest(request, type, request.name, null, false, DEADLINE, setup.form(), request);
  }

  private void begin(Call call) {
    Request request = call.request;
    boolean over = request.over();
    if (call.attempt.begun()) {
      request.begun = true;
      call.passing = true;
      servedUntold += call.server == AWAY ? 0 : 1;
      if (call.over) {
        broken.add(Property.GOES_ON);
      }
      request.answered();
      if (over) {
        broken.add(Property.ONE_ANSWER);
      }
    }
  }

  private void late() {
    Call ended = calls.stream().filter(call -> call.over).findFirst().orElseThrow();
    ended.attempt.ended(Outcome.OK, new Reply(ended.request, true));
  }

  private void gone(Request request) {
    request.gone = true;
    request.ticket.gone();
  }

  private void list(Health now) {
    health[0] = now;
    dispatcher.onServers(ListUpdate.DELTA, members().subList(0, 1));
  }

  // ---- at rest ----

  /** Lets all that is out end and all timers run, and checks what is left; what was broken. */
  public Set<Property> rest() {
    try {
      for (Call call = oldest(); call != null; call = oldest()) {
        call.end(Outcome.ERROR, false);
        loop.settle();
      }
      loop.advanceTo(loop.now() + 60_000 * MS);
      for (Call call = oldest(); call != null; call = oldest()) {
        call.end(Outcome.ERROR, false);
        loop.settle();
      }
      loop.advanceTo(loop.now() + 60_000 * MS);
    } catch (RuntimeException e) {
      broken.add(Property.NO_EXCEPTION);
    }
    for (Request request : requests) {
      if (request.answers == 0 && !request.gone) {
        broken.add(Property.ONE_ANSWER);
      }
      if (dispatcher.isOpen(request.name)) {
        broken.add(Property.REQUEST_LEFT);
      }
      if (request.released != 1) {
        broken.add(Property.RELEASED_ONCE);
      }
      for (Call call : request.calls) {
        if (call.attempt.upstream().attempts != 0) {
          broken.add(Property.ATTEMPT_LEFT);
        }
      }
    }
    if (replies.stream().anyMatch(reply -> reply.released != 1)) {
      broken.add(Property.RELEASED_ONCE);
    }
    if (dispatcher.loads(health.length).values().stream().anyMatch(load -> load[0] != 0)) {
      broken.add(Property.ATTEMPT_LEFT);
    }
    if (awayOut != 0 || setup.away() && servedUntold != 0) {
      broken.add(Property.AWAY_TOLD);
    }
    String figures = dispatcher.figures();
    if (dispatcher.live() != 0
        || !figures.startsWith("entry 0 of")
        || !figures.contains("waiting 0, requests 0;")) {
      broken.add(Property.REQUEST_LEFT);
    }
    if (loop.nextDue() >= 0) {
      broken.add(Property.TIMER_LEFT);
    }
    return broken;
  }

  /** What is broken so far. */
  public Set<Property> broken() {
    return broken;
  }
}
