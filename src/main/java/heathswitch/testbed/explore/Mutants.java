package heathswitch.testbed.explore;

import heathswitch.testbed.mutants.Mutant;
import java.util.List;

/** The faults injected into the dispatcher and the decision module for mutation testing. */
final class Mutants {
  private static final String DISPATCHER = "heathswitch.proxy.dispatch.Dispatcher";
  private static final String LIVE_REQUEST = "heathswitch.proxy.dispatch.LiveRequest";
  private static final String BALANCER = "heathswitch.policy.core.Balancer";
  private static final String REQUEST = "heathswitch.policy.core.Request";
  private static final String SERVER = "heathswitch.policy.core.Server";
  private static final String MEMBERSHIP = "heathswitch.policy.core.Membership";
  private static final String ENTRY = "heathswitch.policy.core.EntryWindow";

  static final List<Mutant> ALL =
      List.of(
          new Mutant(DISPATCHER, "    attempt.upstream().inFlight--;\n", ""),
          new Mutant(
              DISPATCHER,
              "    if (!attempt.open) {\n      releaseAnswer(answer);",
              "    if (false) {"),
          new Mutant(DISPATCHER, "          request.openAttempts--;\n", ""),
          new Mutant(
              DISPATCHER,
              "      markCompleted(request);\n      counters.served++;\n      request.caller.serve",
              "      counters.served++;\n      request.caller.serve"),
          new Mutant(
              DISPATCHER, "        cancelAttempt(other); // A caller", "        // A caller"),
          new Mutant(
              DISPATCHER,
              "    counters.served++;\n    deliverEvent(request",
              "    counters.served++;\n"
                  + "    request.attempts.stream().filter(a -> a != attempt).toList()"
                  + ".forEach(this::cancelAttempt);\n"
                  + "    deliverEvent(request"),
          new Mutant(
              DISPATCHER,
              "    if (request.completed) {\n      releaseAnswer(answer);\n    } else if (isServed",
              "    if (request.completed) {\n    } else if (isServed"),
          new Mutant(
              DISPATCHER,
              "      counters.callerGone++;\n      markCompleted(request);\n",
              "      counters.callerGone++;\n"),
          new Mutant(
              DISPATCHER,
              "    complete(attempt, Outcome.TIMEOUT, null);\n    attempt.cancel();",
              "    complete(attempt, Outcome.TIMEOUT, null);"),
          new Mutant(
              DISPATCHER,
              "      complete(attempt, Outcome.CANCELLED, null);\n      attempt.cancel();",
              "      complete(attempt, Outcome.CANCELLED, null);"),
          new Mutant(DISPATCHER, "      request.release();\n", ""),
          new Mutant(DISPATCHER, "    openRequestNames.remove(request.name);\n", ""),
          new Mutant(
              DISPATCHER, "      upstream.inFlight++; // Decremented", "      // Decremented"),
          new Mutant(
              DISPATCHER,
              "    markCompleted(request);\n    request.caller.refuse",
              "    request.caller.refuse"),
          new Mutant(
              DISPATCHER, "if (!attempt.open || request.completed) {", "if (!attempt.open) {"),
          new Mutant(DISPATCHER, " || !request.caller.mayOverflow()) {", ") {"),
          new Mutant(DISPATCHER, " || !request.neverRan || ", " || "),
          new Mutant(
              DISPATCHER,
              "outcome == Outcome.RESET && isSafe(request)",
              "outcome == Outcome.RESET"),
          new Mutant(
              DISPATCHER, "    request.openAttempts--;\n    overflowRouter", "    overflowRouter"),
          new Mutant(DISPATCHER, "    request.overflowAttempts++;\n", ""),
          new Mutant(
              DISPATCHER, "outcome == Outcome.OK && !request.completed;", "outcome == Outcome.OK;"),
          new Mutant(
              DISPATCHER,
              "sendOverflow(request)) {\n      balancer.onClientGone(clock.nowNanos(), request.id);",
              "sendOverflow(request)) {"),
          new Mutant(DISPATCHER, "        && request.caller.isStillWaiting()\n", ""),
          new Mutant(DISPATCHER, "if (!request.caller.isStillWaiting()) {", "if (false) {"),
          new Mutant(LIVE_REQUEST, "      lastError.release();\n", ""),
          new Mutant(LIVE_REQUEST, "    lastError = null;\n", ""),
          new Mutant(LIVE_REQUEST, "return completed && openAttempts == 0;", "return completed;"),
          new Mutant(BALANCER, "    settings = new ActiveSettings(newSettings, settings);\n", ""),
          new Mutant(BALANCER, "    attempt.server.onEnd(attempt);\n", ""),
          new Mutant(BALANCER, "attempt.mayHaveRun = !outcome.neverRan();", ""),
          new Mutant(
              BALANCER,
              "    entryWindow.onEnd(nowNanos, request, request.attemptCount > 0);\n",
              ""),
          new Mutant(BALANCER, "      entryWindow.onEnd(nowNanos, attempt.request, true);\n", ""),
          new Mutant(BALANCER, "        actions.cancel(request.id, i);\n", ""),
          new Mutant(BALANCER, "      requests.remove(request.id);\n", ""),
          new Mutant(BALANCER, "if (request.mayAdviseRetry()) {", "if (true) {"),
          new Mutant(BALANCER, "        && request.protocol.hedgeable()\n", ""),
          new Mutant(
              REQUEST,
              "return isKeyed()\n        && now",
              "return true || isKeyed()\n        && now"),
          new Mutant(REQUEST, "inDedupGroup(first, other);", "true;"),
          new Mutant(
              REQUEST, "nowNanos - sinceNanos < requestClass.dedupWindowNanos()\n        && ", ""),
          new Mutant(REQUEST, "return open || mayHaveRun;", "return mayHaveRun;"),
          new Mutant(REQUEST, "        || bindingAttempt() == null;", "        || true;"),
          new Mutant(SERVER, "    inFlight--;\n", ""),
          new Mutant(SERVER, "    inFlight++;\n", ""),
          new Mutant(MEMBERSHIP, "ready = server.health == Health.READY;", "ready = true;"),
          new Mutant(MEMBERSHIP, "      setOf(server).remove(server);\n", ""),
          new Mutant(ENTRY, "load = --inFlight == 0", "load = inFlight == 0"));

  private Mutants() {}
}
