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

/** Handling of calls from a peer, valid and invalid, and of clients that pretend to be a peer. */
@Timeout(60)
class InboundCallTest {
  private SitesFixture sites;

  @BeforeEach
  void start() throws Exception {
    sites = new SitesFixture().site("hat-yai", 1, 4, 5).site("bangkok", 1, 4, 5);
    sites.withGatewaySetting("patience = \"500ms\"").startLinked(false);
  }

  @AfterEach
  void stop() throws Exception {
    sites.close();
  }

  private static final class TestConnection extends MultiplexedConnection {
    TestConnection(
        Http2ConnectionDecoder decoder, Http2ConnectionEncoder encoder, Http2Settings settings) {
      super(decoder, encoder, settings);
    }
  }

  private static final class Call implements MultiplexedConnection.StreamHandler {
    final CompletableFuture<Http2Headers> answer = new CompletableFuture<>();
    final CompletableFuture<Long> reset = new CompletableFuture<>();

    /** Whether received data is consumed, which returns the flow control window. */
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

  private static Http2Headers validHeaders() {
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

  private static TestConnection connect(SitesFixture sites) throws Exception {
    TestConnection connection =
        MultiplexedConnection.build(false, 0, 16384, Set.of(), TestConnection::new);
    new Bootstrap()
        .group(sites.group)
        .channel(NioSocketChannel.class)
        .handler(connection)
        .connect(sites.site("bangkok").listen())
        .sync();
    return connection;
  }

  /** Starts a call, with the first part of its body unless that is null. */
  private static Call startCall(
      TestConnection connection, Http2Headers headers, byte[] body, boolean reads) {
    Call call = new Call();
    call.reads = reads;
    connection
        .context()
        .executor()
        .execute(
            () -> {
              int id = connection.openStream(call, headers, body == null);
              if (body != null) {
                connection.writeData(id, Unpooled.wrappedBuffer(body), false);
              }
            });
    return call;
  }

  private Http2Headers send(Http2Headers headers) throws Exception {
    TestConnection connection = connect(sites);
    Http2Headers answer =
        startCall(connection, headers, null, true).answer.get(30, TimeUnit.SECONDS);
    connection.close();
    return answer;
  }

  @Test
  void validCallIsServedAndTheAnswerReportsTimeAndRoom() throws Exception {
    Http2Headers answer = send(validHeaders());
    assertEquals("200", answer.status().toString());
    assertEquals("served", answer.get("x-site-result").toString());
    assertTrue(Long.parseLong(answer.get("x-site-took").toString()) >= 4000);
    assertTrue(Long.parseLong(answer.get("x-site-room").toString()) > 0);
    assertEquals(
        "200", send(validHeaders().set("x-site-trail", "2;hat-yai;later=1")).status().toString());
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
  void invalidCallIsRefusedAndNeverRuns(String header, String value) throws Exception {
    Http2Headers headers = validHeaders();
    if (value.isEmpty()) {
      headers.remove(header);
    } else {
      headers.set(header, value);
    }
    Http2Headers answer = send(headers);
    assertEquals("503", answer.status().toString());
    assertEquals("refused", answer.get("x-site-result").toString());
    assertEquals(0, sites.site("bangkok").received());
  }

  /** Request smuggling: headers that would form a second request over HTTP/1.1. */
  @ParameterizedTest
  @CsvSource({
    ":path, '/next HTTP/1.1|Evil: 1|'",
    ":method, 'GET /other HTTP/1.1|'",
    ":method, POST",
    "x-evil, 'a|b: c'",
    ":authority, 'b|x: y'"
  })
  void callThatSmugglesARequestIsRefused(String header, String value) throws Exception {
    Http2Headers headers = new DefaultHttp2Headers(false, 16);
    validHeaders().forEach(each -> headers.add(each.getKey(), each.getValue()));
    headers.set(header, value.replace("|", "\r\n"));
    assertNotEquals("200", String.valueOf(send(headers).status()));
    assertEquals(0, sites.site("bangkok").received());
  }

  private static Http2Headers publish() {
    return validHeaders().method("POST").set("x-class", "publish").set("x-site-effect", "unsafe");
  }

  /** PINGs and other calls of the link may continue meanwhile. */
  @Test
  void callWithAStalledBodyIsRefusedAndTheLinkStaysUp() throws Exception {
    TestConnection connection = connect(sites);
    Call call = startCall(connection, publish(), new byte[10], true);
    assertEquals("refused", call.answer.get(30, TimeUnit.SECONDS).get("x-site-result").toString());
    assertEquals(0, sites.site("bangkok").received());
    Http2Headers next = validHeaders().set("x-request-id", "r-2");
    Http2Headers answer = startCall(connection, next, null, true).answer.get(30, TimeUnit.SECONDS);
    assertEquals("200", answer.status().toString());
    connection.close();
  }

  @Test
  void callWhoseAnswerIsNotReadIsAbortedAndTheLinkStaysUp() throws Exception {
    try (LongResponseServer server = new LongResponseServer(4 << 20);
        SitesFixture streamingSites =
            new SitesFixture().site("hat-yai", 1, 4, 5).site("bangkok", 0, 4, 5)) {
      streamingSites.site("bangkok").addMemberLine(server.memberLine("long"));
      streamingSites.withGatewaySetting("patience = \"500ms\"").startLinked(false);
      TestConnection connection = connect(streamingSites);
      Call stuck = startCall(connection, validHeaders(), null, false);
      assertEquals("200", stuck.answer.get(30, TimeUnit.SECONDS).status().toString());
      assertEquals(Http2Error.CANCEL.code(), stuck.reset.get(30, TimeUnit.SECONDS));
      Await.until("no request is open", () -> streamingSites.site("bangkok").openRequests() == 0);
      Http2Headers next = validHeaders().set("x-request-id", "r-2");
      Http2Headers answer =
          startCall(connection, next, null, true).answer.get(30, TimeUnit.SECONDS);
      assertEquals("200", answer.status().toString());
      connection.close();
    }
  }

  @Test
  void callWithTwoTrailHeadersIsRefused() throws Exception {
    assertEquals("503", send(validHeaders().add("x-site-trail", "1;hat-yai")).status().toString());
    assertEquals(1L, sites.site("bangkok").from("hat-yai").get("garbled"));
  }

  /** Only peers may send a trail. */
  @Test
  void clientRequestWithATrailIsRejected() throws Exception {
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
