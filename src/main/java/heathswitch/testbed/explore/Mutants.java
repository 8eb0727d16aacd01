package heathswitch.testbed.explore;

import heathswitch.testbed.mutants.Mutant;
import java.util.List;

/** Faults in what carries an attempt. */
final class Mutants {
  private static final String DISPATCHER = "heathswitch.proxy.dispatch.Dispatcher";
  private static final String LIVE = "heathswitch.proxy.dispatch.LiveRequest";
  private static final String BALANCER = "heathswitch.policy.core.Balancer";
  private static final String REQUEST = "heathswitch.policy.core.Request";
  private static final String SERVER = "heathswitch.policy.core.Server";
  private static final String MEMBERSHIP = "heathswitch.policy.core.Membership";
  private static final String ENTRY = "heathswitch.policy.core.EntryWindow";

  static final List<Mutant> ALL =
      List.of(
          new Mutant(DISPATCHER, "    attempt.upstream().attempts--;\n", ""),
          new Mutant(
              DISPATCHER, "    if (!attempt.open) {\n      release(answer);", "    if (false) {"),
          new Mutant(DISPATCHER, "          request.openAttempts--;\n", ""),
          new Mutant(
              DISPATCHER,
              "      answered(request);\n      counters.served++;\n      request.client.serve",
              "      counters.served++;\n      request.client.serve"),
          new Mutant(DISPATCHER, "        callOff(other); // Two", "        // Two"),
          new Mutant(
              DISPATCHER,
              "    counters.served++;\n    event(request",
              "    counters.served++;\n"
                  + "    request.attempts.stream().filter(a -> a != attempt).toList()"
                  + ".forEach(this::callOff);\n"
                  + "    event(request"),
          new Mutant(
              DISPATCHER,
              "    if (request.over) {\n      release(answer);\n    } else if (serves",
              "    if (request.over) {\n    } else if (serves"),
          new Mutant(
              DISPATCHER,
              "      counters.gone++;\n      answered(request);\n",
              "      counters.gone++;\n"),
          new Mutant(
              DISPATCHER,
              "    ended(attempt, Outcome.TIMEOUT, null);\n    attempt.abandon();",
              "    ended(attempt, Outcome.TIMEOUT, null);"),
          new Mutant(
              DISPATCHER,
              "      ended(attempt, Outcome.CANCELLED, null);\n      attempt.abandon();",
              "      ended(attempt, Outcome.CANCELLED, null);"),
          new Mutant(DISPATCHER, "      request.release();\n", ""),
          new Mutant(DISPATCHER, "    open.remove(request.name);\n", ""),
          new Mutant(DISPATCHER, "      upstream.attempts++; // Taken", "      // Taken"),
          new Mutant(
              DISPATCHER,
              "    answered(request);\n    request.client.refuse",
              "    request.client.refuse"),
          new Mutant(DISPATCHER, "if (!attempt.open || request.over) {", "if (!attempt.open) {"),
          new Mutant(DISPATCHER, " || !request.client.mayLeave()) {", ") {"),
          new Mutant(DISPATCHER, " || !request.neverRan || ", " || "),
          new Mutant(
              DISPATCHER, "outcome == Outcome.RESET && safe(request)", "outcome == Outcome.RESET"),
          new Mutant(DISPATCHER, "    request.openAttempts--;\n    elsewhere", "    elsewhere"),
          new Mutant(DISPATCHER, "    request.awayTries++;\n", ""),
          new Mutant(
              DISPATCHER, "outcome == Outcome.OK && !request.over;", "outcome == Outcome.OK;"),
          new Mutant(
              DISPATCHER,
              "sentAway(request)) {\n      balancer.onClientGone(clock.nowNanos(), request.id);",
              "sentAway(request)) {"),
          new Mutant(DISPATCHER, "        && request.client.stillWaits()\n", ""),
          new Mutant(DISPATCHER, "if (!request.client.stillWaits()) {", "if (false) {"),
          new Mutant(LIVE, "      lastError.release();\n", ""),
          new Mutant(LIVE, "    lastError = null;\n", ""),
          new Mutant(LIVE, "return over && openAttempts == 0;", "return over;"),
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
          new Mutant(REQUEST, "(binding == null || mayRepeat", "(true || mayRepeat"),
          new Mutant(REQUEST, "inDedupGroup(bound.server, server);", "true;"),
          new Mutant(
              REQUEST,
              "nowNanos - bound.sentNanos < requestClass.dedupWindowNanos()\n        && ",
              ""),
          new Mutant(
              REQUEST, "attempts[i].open || attempts[i].mayHaveRun", "attempts[i].mayHaveRun"),
          new Mutant(REQUEST, "        || bindingAttempt() == null;", "        || true;"),
          new Mutant(SERVER, "    inFlight--;\n", ""),
          new Mutant(SERVER, "    inFlight++;\n", ""),
          new Mutant(MEMBERSHIP, "ready = server.health == Health.READY;", "ready = true;"),
          new Mutant(MEMBERSHIP, "      setOf(server).remove(server);\n", ""),
          new Mutant(ENTRY, "load = --inFlight == 0", "load = inFlight == 0"));

  private Mutants() {}
}
