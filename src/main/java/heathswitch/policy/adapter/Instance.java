package heathswitch.policy.adapter;

import heathswitch.policy.api.Actions;
import heathswitch.policy.api.Settings;
import heathswitch.policy.core.Balancer;

/** One balancer of the adapter; writes its actions to the wire. */
final class Instance implements Actions {
  private static final byte[] FORWARD = WireWriter.quoted("FORWARD");
  private static final byte[] STOP_ATTEMPT = WireWriter.quoted("STOP_ATTEMPT");
  private static final byte[] NOT_NOW = WireWriter.quoted("NOT_NOW");
  private static final byte[] FAIL = WireWriter.quoted("FAIL");
  private static final byte[] SET_ALARM = WireWriter.quoted("SET_ALARM");
  private static final byte[] TAIL = WireWriter.quoted("TAIL");
  private static final byte[] FETCH = WireWriter.quoted("FETCH");
  private static final byte[] NOTE_DOWN = WireWriter.quoted("NOTE_DOWN");
  private static final byte[] FAULT = WireWriter.quoted("FAULT");

  private final byte[] name;
  private final WireWriter out;
  final Balancer balancer;

  Instance(String name, Settings settings, long seed, WireWriter out) {
    this.name = WireWriter.quoted(name);
    this.out = out;
    this.balancer = new Balancer(settings, seed, this);
  }

  /** Reports an exception of an instance. */
  static void fault(String name, String text, WireWriter out) {
    out.openAction(FAULT, WireWriter.quoted(name)).text(text).closeAction();
  }

  @Override
  public void send(long requestId, long serverId, long attemptDeadlineNanos) {
    out.openAction(FORWARD, name)
        .number(requestId)
        .number(serverId)
        .number(attemptDeadlineNanos)
        .closeAction();
  }

  @Override
  public void cancel(long requestId, int attempt) {
    out.openAction(STOP_ATTEMPT, name).number(requestId).number(attempt).closeAction();
  }

  @Override
  public void refuse(long requestId, long retryAfterNanos) {
    out.openAction(NOT_NOW, name).number(requestId).number(retryAfterNanos).closeAction();
  }

  @Override
  public void fail(long requestId) {
    out.openAction(FAIL, name).number(requestId).closeAction();
  }

  @Override
  public void setTimer(long delayNanos, long token) {
    out.openAction(SET_ALARM, name).number(delayNanos).number(token).closeAction();
  }

  @Override
  public void watch(boolean enable) {
    out.openAction(TAIL, name).bool(enable).closeAction();
  }

  @Override
  public void fetch() {
    out.openAction(FETCH, name).closeAction();
  }

  @Override
  public void log(String message) {
    out.openAction(NOTE_DOWN, name).text(message).closeAction();
  }
}
