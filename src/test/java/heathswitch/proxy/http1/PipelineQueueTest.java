package heathswitch.proxy.http1;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.HttpContent;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The queue of pipelined parts is bounded, and every buffer is released exactly once. */
class PipelineQueueTest {
  private final PipelineQueue parts = new PipelineQueue();
  private final List<HttpContent> added = new ArrayList<>();

  private void add(int bytes) {
    HttpContent part = new DefaultHttpContent(Unpooled.buffer(bytes).writeZero(bytes));
    added.add(part);
    parts.add(part);
  }

  @Test
  void pollReturnsPartsInOrderAndPassesOwnership() {
    for (int i = 0; i < PipelineQueue.MAX_PARTS; i++) {
      add(10);
    }
    assertFalse(parts.hasOverflowed());
    for (HttpContent part : added) {
      assertSame(part, parts.poll());
      assertEquals(1, part.refCnt(), "ownership has passed to the caller");
      part.release();
    }
    assertTrue(parts.isEmpty());
  }

  @Test
  void releasesAllPartsOnOverflow() {
    for (int i = 0; i <= PipelineQueue.MAX_PARTS; i++) {
      add(10);
    }
    assertTrue(parts.hasOverflowed());
    assertTrue(parts.isEmpty());
    assertTrue(added.stream().allMatch(part -> part.refCnt() == 0));
  }

  @Test
  void releasesAndCountsPartsAfterOverflow() {
    for (int i = 0; i <= PipelineQueue.MAX_PARTS; i++) {
      add(10);
    }
    for (int i = 0; i < 10; i++) {
      add(100_000);
      assertFalse(parts.overflowLimitExceeded());
    }
    add(100_000);
    assertTrue(parts.overflowLimitExceeded());
    assertTrue(added.stream().allMatch(part -> part.refCnt() == 0));
  }

  @Test
  void releaseFreesQueuedParts() {
    add(10);
    add(10);
    parts.release();
    assertTrue(parts.isEmpty());
    assertTrue(added.stream().allMatch(part -> part.refCnt() == 0));
  }
}
