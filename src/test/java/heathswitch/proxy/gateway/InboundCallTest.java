package heathswitch.proxy.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import heathswitch.proxy.http2.MultiplexedConnection;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http2.DefaultHttp2Headers;
import io.netty.handler.codec.http2.Http2ConnectionDecoder;
import io.netty.handler.codec.http2.Http2ConnectionEncoder;
import io.netty.handler.codec.http2.Http2Error;
import io.netty.handler.codec.http2.Http2Headers;
import io.netty.handler.codec.http2.Http2Settings;
import io.netty.handler.codec.http2.Http2Stream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import testing.Await;

/** What a gateway makes of what a peer says, and of a client that speaks as if it were one. */
@Timeout(60)
class InboundCallTest {
  private SitesFixture sites;

  @BeforeEach
  void start() throws Exception {
    sites = new SitesFixture().site("hat-yai", 1, 4, 5).site("bangkok", 1, 4, 5);
    sites.with("patience = \"500ms\"").linked(false);
  }

  @AfterEach
  void stop() throws Exception {
    sites.close();
  }

  private static final class Raw extends MultiplexedConnection {
    Raw(Http2ConnectionDecoder decoder, Http2ConnectionEncoder encoder, Http2Settings settings) {
      super(decoder, encoder, settings);
    }
  }

  private static final class Call implements MultiplexedConnection.StreamHandler {
    final CompletableFuture<Http2Headers> answer = new CompletableFuture<>();
    final CompletableFuture<Long> reset = new CompletableFuture<>();

    /** Whether what comes is used up, so that more may come. */
    boolean reads = true;

    @Override
    public void onHeaders(Http2Headers headers, boolean last) {
      answer.complete(headers);
    }

    @Override
    public int onData(ByteBuf data, boolean last) {
      return reads ? data.readableBytes() : 0;
    }

    @Override
    public void onReset(long code) {
      reset.complete(code);
      answer.complete(new DefaultHttp2Headers().status("reset"));
    }

    @Override
    public void onClosed(Http2Stream stream) {
      answer.complete(new DefaultHttp2Headers().status("closed"));
    }
  }

  private static Http2Headers good() {
    return new DefaultHttp2Headers()
        .method("GET")
        .scheme("https")
        .path("/next")
        .authority("b")
        .set("x-request-id", "r-1")
        .set("x-class", "view")
        .set("x-site-trail", "1;hat-yai")
        .set("x-site-effect", "safe")
        .set("x-site-left", "2000000");
  }

  private static Raw connect(SitesFixture sites) throws Exception {
    Raw raw = MultiplexedConnection.build(false, 0, 16384, Set.of(), Raw::new);
    new Bootstrap()
        .group(sites.group)
        .channel(NioSocketChannel.class)
        .handler(raw)
        .connect(sites.site("bangkok").listen())
        .sync();
    return raw;
  }

  /** Begins a call, with a first piece of its body unless that is null. */
  private static Call begin(Raw raw, Http2Headers headers, byte[] body, boolean reads) {
    Call call = new Call();
    call.reads = reads;
    raw.context()
        .executor()
        .execute(
            () -> {
              int id = raw.openStream(call, headers, body == null);
              if (body != null) {
                raw.writeData(id, Unpooled.wrappedBuffer(body), false);
              }
            });
    return call;
  }

  private Http2Headers ask(Http2Headers headers) throws Exception {
    Raw raw = connect(sites);
    Http2Headers answer = begin(raw, headers, null, true).answer.get(30, TimeUnit.SECONDS);
    raw.close();
    return answer;
  }

  @Test
  void aGoodCallIsServedWithWhatThisSiteTakes() throws Exception {
    Http2Headers answer = ask(good());
    assertEquals("200", answer.status().toString());
    assertEquals("served", answer.get("x-site-result").toString());
    assertTrue(Long.parseLong(answer.get("x-site-took").toString()) >= 4000);
    assertTrue(Long.parseLong(answer.get("x-site-room").toString()) > 0);
    assertEquals("200", ask(good().set("x-site-trail", "2;hat-yai;later=1")).status().toString());
  }

  @ParameterizedTest
  @CsvSource({
    "x-site-trail, ''",
    "x-site-trail, '1;hat-yai,'",
    "x-site-trail, '1;nowhere'",
    "x-site-trail, '1;bangkok,hat-yai'",
    "x-site-trail, '1;udon,hat-yai'",
    "x-site-trail, '1;bangkok'",
    "x-site-effect, unsafe",
    "x-site-effect, ''",
    "x-site-left, 0",
    "x-site-left, -5",
    "x-site-left, soon",
    "x-class, other",
    "x-request-id, ''"
  })
  void aCallThatIsWrongIsRefusedAndNeverRuns(String header, String value) throws Exception {
    Http2Headers headers = good();
    if (value.isEmpty()) {
      headers.remove(header);
    } else {
      headers.set(header, value);
    }
    Http2Headers answer = ask(headers);
    assertEquals("503", answer.status().toString());
    assertEquals("refused", answer.get("x-site-result").toString());
    assertEquals(0, sites.site("bangkok").received());
  }

  /** What would be a second request to a server over HTTP/1.1. */
  @ParameterizedTest
  @CsvSource({
    ":path, '/next HTTP/1.1|Evil: 1|'",
    ":method, 'GET /other HTTP/1.1|'",
    ":method, POST",
    "x-evil, 'a|b: c'",
    ":authority, 'b|x: y'"
  })
  void aCallThatHidesAnotherIsRefused(String header, String value) throws Exception {
    Http2Headers headers = new DefaultHttp2Headers(false, 16);
    good().forEach(each -> headers.add(each.getKey(), each.getValue()));
    headers.set(header, value.replace("|", "\r\n"));
    assertNotEquals("200", String.valueOf(ask(headers).status()));
    assertEquals(0, sites.site("bangkok").received());
  }

  private static Http2Headers publish() {
    return good().method("POST").set("x-class", "publish").set("x-site-effect", "unsafe");
  }

  /** Its PINGs and other calls may go on all the while. */
  @Test
  void aBodyThatStopsIsRefusedAndItsLinkStays() throws Exception {
    Raw raw = connect(sites);
    Call call = begin(raw, publish(), new byte[10], true);
    assertEquals("refused", call.answer.get(30, TimeUnit.SECONDS).get("x-site-result").toString());
    assertEquals(0, sites.site("bangkok").received());
    Http2Headers next = good().set("x-request-id", "r-2");
    Http2Headers answer = begin(raw, next, null, true).answer.get(30, TimeUnit.SECONDS);
    assertEquals("200", answer.status().toString());
    raw.close();
  }

  @Test
  void anAnswerThatIsNotTakenIsGivenUpAndItsLinkStays() throws Exception {
    try (LongResponseServer server = new LongResponseServer(4 << 20);
        SitesFixture own = new SitesFixture().site("hat-yai", 1, 4, 5).site("bangkok", 0, 4, 5)) {
      own.site("bangkok").line(server.line("long"));
      own.with("patience = \"500ms\"").linked(false);
      Raw raw = connect(own);
      Call stuck = begin(raw, good(), null, false);
      assertEquals("200", stuck.answer.get(30, TimeUnit.SECONDS).status().toString());
      assertEquals(Http2Error.CANCEL.code(), stuck.reset.get(30, TimeUnit.SECONDS));
      Await.until("nothing is held", () -> own.site("bangkok").live() == 0);
      Http2Headers next = good().set("x-request-id", "r-2");
      Http2Headers answer = begin(raw, next, null, true).answer.get(30, TimeUnit.SECONDS);
      assertEquals("200", answer.status().toString());
      raw.close();
    }
  }

  @Test
  void twoTrailsAreNone() throws Exception {
    assertEquals("503", ask(good().add("x-site-trail", "1;hat-yai")).status().toString());
    assertEquals(1L, sites.site("bangkok").from("hat-yai").get("garbled"));
  }

  /** Only a peer brings a trail; a client that sends one is told so. */
  @Test
  void aClientCannotForgeATrail() throws Exception {
    var address = sites.site("bangkok").node.node().address();
    try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
      String text =
          "GET /x HTTP/1.1\r\nHost: b\r\nX-Request-Id: a\r\nX-Class: view\r\n"
              + "X-Site-Trail: 1;hat-yai\r\n\r\n";
      socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
      byte[] answer = socket.getInputStream().readNBytes(12);
      assertEquals("HTTP/1.1 400", new String(answer, StandardCharsets.US_ASCII));
    }
    assertEquals(0, sites.site("bangkok").received());
  }
}
