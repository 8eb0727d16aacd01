package heathswitch.proxy.grpc;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Tests message counting and the size limit for data that is split at arbitrary positions. */
class MessageBoundaryTrackerTest {
  /** DATA frames may split a message anywhere, even within its prefix. */
  @Test
  void countsMessagesSplitAnywhere() {
    SplittableRandom random = new SplittableRandom(5);
    for (int round = 0; round < 200; round++) {
      ByteBuf data = Unpooled.buffer();
      int count = random.nextInt(6);
      for (int i = 0; i < count; i++) {
        int size = random.nextInt(3) == 0 ? 0 : random.nextInt(300);
        data.writeByte(0).writeInt(size).writeZero(size);
      }
      MessageBoundaryTracker tracker = new MessageBoundaryTracker(300);
      while (data.isReadable()) {
        int length = Math.min(data.readableBytes(), 1 + random.nextInt(40));
        assertTrue(tracker.track(data.readSlice(length)));
      }
      assertEquals(count, tracker.startedCount());
    }
  }

  @Test
  void rejectsMessageOneByteOverLimitAndReportsItsLength() {
    MessageBoundaryTracker tracker = new MessageBoundaryTracker(300);
    assertTrue(tracker.track(Unpooled.buffer().writeByte(0).writeInt(300).writeZero(300)));
    assertFalse(tracker.track(Unpooled.buffer().writeByte(0).writeInt(301)));
    assertEquals(301, tracker.declaredLength());
    MessageBoundaryTracker hugeTracker = new MessageBoundaryTracker(300);
    assertFalse(hugeTracker.track(Unpooled.buffer().writeByte(1).writeInt(-1)));
    assertEquals(0xffff_ffffL, hugeTracker.declaredLength());
  }
}
