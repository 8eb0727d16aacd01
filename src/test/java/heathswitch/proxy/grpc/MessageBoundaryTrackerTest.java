package heathswitch.proxy.grpc;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class MessageBoundaryTrackerTest {
  /** Wherever the frames cut them, also within a prefix. */
  @Test
  void messagesAreCountedHoweverTheyAreCut() {
    SplittableRandom random = new SplittableRandom(5);
    for (int round = 0; round < 200; round++) {
      ByteBuf all = Unpooled.buffer();
      int count = random.nextInt(6);
      for (int i = 0; i < count; i++) {
        int size = random.nextInt(3) == 0 ? 0 : random.nextInt(300);
        all.writeByte(0).writeInt(size).writeZero(size);
      }
      MessageBoundaryTracker messages = new MessageBoundaryTracker(300);
      while (all.isReadable()) {
        int step = Math.min(all.readableBytes(), 1 + random.nextInt(40));
        assertTrue(messages.track(all.readSlice(step)));
      }
      assertEquals(count, messages.startedCount());
    }
  }

  @Test
  void oneByteOverIsTooLongAndSaysHowLong() {
    MessageBoundaryTracker messages = new MessageBoundaryTracker(300);
    assertTrue(messages.track(Unpooled.buffer().writeByte(0).writeInt(300).writeZero(300)));
    assertFalse(messages.track(Unpooled.buffer().writeByte(0).writeInt(301)));
    assertEquals(301, messages.declaredLength());
    MessageBoundaryTracker huge = new MessageBoundaryTracker(300);
    assertFalse(huge.track(Unpooled.buffer().writeByte(1).writeInt(-1)));
    assertEquals(0xffff_ffffL, huge.declaredLength());
  }
}
