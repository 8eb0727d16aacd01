package heathswitch.policy.adapter;

import heathswitch.policy.api.Actions;
import heathswitch.policy.api.Settings;
import heathswitch.policy.core.Balancer;

/** One hosted balancer; writes its decisions as actions on the wire. */
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

  static void fault(String name, String text, WireWriter out) {
    out.open(FAULT, WireWriter.quoted(name)).text(text).close();
  }

  @Override
  public void send(long requestId, long serverId, long notPastNanos) {
    out.open(FORWARD, name).number(requestId).number(serverId).number(notPastNanos).close();
  }

  @Override
  public void cancel(long requestId, int attempt) {
    out.open(STOP_ATTEMPT, name).number(requestId).number(attempt).close();
  }

  @Override
  public void refuse(long requestId, long retryAfterNanos) {
    out.open(NOT_NOW, name).number(requestId).number(retryAfterNanos).close();
  }

  @Override
  public void fail(long requestId) {
    out.open(FAIL, name).number(requestId).close();
  }

  @Override
  public void setTimer(long delayNanos, long token) {
    out.open(SET_ALARM, name).number(delayNanos).number(token).close();
  }

  @Override
  public void watch(boolean enable) {
    out.open(TAIL, name).bool(enable).close();
  }

  @Override
  public void fetch() {
    out.open(FETCH, name).close();
  }

  @Override
  public void log(String message) {
    out.open(NOTE_DOWN, name).text(message).close();
  }
}
