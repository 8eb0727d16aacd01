package heathswitch.proxy.http1;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Iterator;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Which headers are forwarded, and what copying them costs. */
class HeaderRulesTest {
  private static final int HEADERS = 4000;

  /** Headers that count how often the values of the Connection header are looked up. */
  private static final class CountingHeaders extends DefaultHttpHeaders {
    private int lookups;

    private void count(CharSequence name) {
      if (HttpHeaderNames.CONNECTION.contentEqualsIgnoreCase(name)) {
        lookups++;
      }
    }

    @Override
    public Iterator<CharSequence> valueCharSequenceIterator(CharSequence name) {
      count(name);
      return super.valueCharSequenceIterator(name);
    }

    @Override
    public List<String> getAll(CharSequence name) {
      count(name);
      return super.getAll(name);
    }
  }

  @Test
  void headersNamedByConnectionAreOmitted() {
    HttpHeaders from = new DefaultHttpHeaders();
    from.add("Connection", "close, X-First");
    from.add("Connection", "x-SECOND ,X-Class");
    from.add("X-First", "1").add("X-Second", "2").add("X-Third", "3").add("X-Class", "view");
    HttpHeaders to = new DefaultHttpHeaders();
    HeaderRules.copyEndToEndHeaders(from, to);
    assertFalse(to.contains("X-First") || to.contains("X-Second") || to.contains("Connection"));
    assertEquals("3", to.get("X-Third"));
    assertTrue(to.contains("X-Class"), "headers of the protocol are always forwarded");
  }

  /**
   * Guards against a loop that is held up by heads of many lines, each compared with the others.
   */
  @Test
  void connectionHeaderIsLookedUpOnceForAllHeaders() {
    CountingHeaders from = new CountingHeaders();
    for (int i = 0; i < HEADERS; i++) {
      from.add("a", "");
    }
    HttpHeaders to = new DefaultHttpHeaders();
    HeaderRules.copyEndToEndHeaders(from, to);
    assertEquals(HEADERS, to.size());
    assertEquals(1, from.lookups);
  }
}
