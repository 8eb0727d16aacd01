package heathswitch.proxy.http1;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import heathswitch.proxy.runtime.Clock;
import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** The order and the pace of the turns that connections with costly input get. */
class DecodingThrottleTest {
  private static final long MICRO = 1_000;
  private static final long MILLI = 1_000_000;

  private final EmbeddedChannel channel = new EmbeddedChannel();
  private long nowNanos = MILLI;
  private final DecodingThrottle throttle =
      new DecodingThrottle(channel.eventLoop(), new Clock(() -> nowNanos));
  private final List<String> turns = new ArrayList<>();

  DecodingThrottleTest() {
    channel.freezeTime();
  }

  /** A connection that reads nothing in its turn. */
  private final class NamedReader extends DecodingThrottle.Reader {
    private final String name;

    NamedReader(String name) {
      this.name = name;
    }

    /** Makes a costly read that takes this long. */
    void read(long nanos) {
      long startNanos = nowNanos;
      advance(nanos);
      throttle.awaitTurn(this, startNanos);
    }

    @Override
    void takeTurn() {
      turns.add(name);
    }
  }

  private void advance(long nanos) {
    nowNanos += nanos;
    channel.advanceTimeBy(nanos, TimeUnit.NANOSECONDS);
  }

  /** Lets time pass in small steps. */
  private void pass(long nanos) {
    for (long passed = 0; passed < nanos; passed += 100 * MICRO) {
      advance(100 * MICRO);
      channel.runScheduledPendingTasks();
    }
  }

  /** Uses up the time that has been saved for costly reads, so that turns come after a pause. */
  private void useUpCredit() {
    NamedReader other = new NamedReader("other");
    other.read(40 * MILLI);
    throttle.stopWaiting(other);
  }

  @Test
  void connectionOfLeastCostReadsNext() {
    useUpCredit();
    NamedReader light = new NamedReader("light");
    new NamedReader("heavy").read(2 * MILLI);
    new NamedReader("medium").read(MILLI);
    light.read(200 * MICRO);
    pass(50 * MILLI);
    assertEquals(List.of("light", "medium", "heavy"), turns);
  }

  @Test
  void costOfEarlierReadsCounts() {
    useUpCredit();
    NamedReader often = new NamedReader("often");
    for (int reads = 0; reads < 10; reads++) {
      often.read(300 * MICRO);
    }
    new NamedReader("once").read(2 * MILLI);
    pass(50 * MILLI);
    assertEquals(List.of("once", "often"), turns);
  }

  @Test
  void costIsForgottenInTime() {
    NamedReader early = new NamedReader("early");
    early.read(8 * MILLI);
    pass(10_000 * MILLI);
    useUpCredit();
    early.read(MILLI);
    new NamedReader("late").read(2 * MILLI);
    pass(50 * MILLI);
    assertEquals(List.of("early", "early", "late"), turns);
  }

  @Test
  void costlyReadsTakeAThirdOfTheTime() {
    useUpCredit();
    new NamedReader("reader").read(MILLI);
    pass(20 * MILLI);
    assertEquals(List.of(), turns, "the last 7 ms of costly reads have not been earned");
    pass(2 * MILLI);
    assertEquals(List.of("reader"), turns);
  }

  @Test
  void savedTimeIsUsedWithoutAPause() {
    pass(100 * MILLI);
    new NamedReader("reader").read(MILLI);
    pass(100 * MICRO);
    assertEquals(List.of("reader"), turns);
  }

  /** Guards against many new connections that keep all others from their turns. */
  @Test
  void firstReadsOfManyConnectionsPostponeTurnsLittle() {
    for (int i = 0; i < 200; i++) {
      new NamedReader("flood").read(MILLI);
    }
    turns.clear();
    new NamedReader("usual").read(100 * MICRO);
    pass(22 * MILLI);
    assertTrue(turns.contains("usual"), turns.toString());
  }

  @Test
  void closedConnectionGetsNoTurn() {
    NamedReader closed = new NamedReader("closed");
    useUpCredit();
    closed.read(100 * MICRO);
    new NamedReader("open").read(MILLI);
    throttle.stopWaiting(closed);
    pass(50 * MILLI);
    assertEquals(List.of("open"), turns);
  }
}
