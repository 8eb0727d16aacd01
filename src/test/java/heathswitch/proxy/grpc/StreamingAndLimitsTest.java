package heathswitch.proxy.grpc;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import heathswitch.proxy.members.MembersStatus;
import io.grpc.CallOptions;
import io.grpc.ClientCall;
import io.grpc.ManagedChannel;
import io.grpc.Metadata;
import io.grpc.Status;
import io.grpc.StatusRuntimeException;
import io.grpc.stub.ClientCalls;
import io.grpc.stub.StreamObserver;
import io.netty.handler.codec.http2.Http2Error;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import testing.Await;

/**
 * Tests calls that are recognized as streams by their traffic, the limits of the configuration, and
 * servers with and without gRPC.
 */
@Timeout(120)
class StreamingAndLimitsTest {
  private static final Object DONE = "done";

  private static BlockingQueue<Object> results() {
    return new LinkedBlockingQueue<>();
  }

  private static Object next(BlockingQueue<Object> results) throws InterruptedException {
    return results.poll(30, TimeUnit.SECONDS);
  }

  private static Status status(Object error) {
    return ((StatusRuntimeException) error).getStatus();
  }

  /**
   * Repeats a call until it is served. On a busy machine a server may look slow and get no calls
   * for a while.
   */
  private static void assertServed(ManagedChannel channel, String text) throws Exception {
    BlockingQueue<Object> results = results();
    Await.until(
        "the call is served",
        () -> {
          GrpcFailureTest.unary(channel, EchoServer.UNSAFE, text, results);
          try {
            Object result = next(results);
            boolean refused =
                result instanceof Status status && status.getCode() == Status.Code.UNAVAILABLE;
            assertTrue(refused || text.equals(result), String.valueOf(result));
            return !refused;
          } catch (InterruptedException e) {
            throw new AssertionError(e);
          }
        });
  }

  /** All data of a call that the first server never ran is sent again to the next one. */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void secondMessageRacingFailureOfFirstAttemptIsRetried(boolean messageFirst) throws Exception {
    for (int round = 0; round < 5; round++) {
      try (RawHttp2Server one = new RawHttp2Server(100);
          RawHttp2Server two = new RawHttp2Server(100);
          GrpcFixture fixture = new GrpcFixture().server(one.port()).server(two.port()).start()) {
        BlockingQueue<Object> results = results();
        StreamObserver<byte[]> requests =
            ClientCalls.asyncClientStreamingCall(
                fixture.channel().newCall(EchoServer.CLIENT_STREAMING, CallOptions.DEFAULT),
                GrpcFailureTest.observer(results));
        requests.onNext(new byte[10]);
        Await.until(
            "the first attempt has arrived", () -> one.calls.size() + two.calls.size() == 1);
        RawHttp2Server first = one.calls.isEmpty() ? two : one;
        RawHttp2Server second = first == one ? two : one;
        if (messageFirst) {
          requests.onNext(new byte[20]);
          first.calls.get(0).reset(Http2Error.REFUSED_STREAM);
        } else {
          first.calls.get(0).reset(Http2Error.REFUSED_STREAM);
          requests.onNext(new byte[20]);
        }
        requests.onCompleted();
        Await.until(
            "the request is complete at the second server", () -> second.openCallCount() == 1);
        assertEquals(15 + 25, second.calls.get(0).bytes.get());
        second.answerAll();
        assertEquals(1, ((byte[]) next(results)).length);
        assertEquals(DONE, next(results));
        assertEquals(1, first.calls.size() + second.calls.size() - 1);
        fixture.awaitNoLiveRequests();
      }
    }
  }

  /** Whichever comes first, the client gets exactly one end of stream and nothing after it. */
  @Test
  void answerMessageRacingDeadlineEndsCallOnce() throws Exception {
    try (RawHttp2Server server = new RawHttp2Server(100);
        GrpcFixture fixture = new GrpcFixture().server(server.port()).start()) {
      for (int i = 0; i < 20; i++) {
        int number = i;
        try (RawHttp2Client raw = new RawHttp2Client(fixture.port())) {
          byte[] head = RawHttp2Client.callHeaders("/timetable.Store/Down", "grpc-timeout", "100m");
          raw.sendFrame(RawHttp2Client.HEADERS, RawHttp2Client.END_HEADERS, 1, head);
          raw.sendFrame(
              RawHttp2Client.DATA,
              RawHttp2Client.END_STREAM,
              1,
              RawHttp2Client.lengthPrefixed("x"));
          raw.out.flush();
          long startNanos = System.nanoTime();
          Await.until("the call has arrived", () -> server.calls.size() > number);
          RawHttp2Server.Call call = server.calls.get(i);
          Await.until("the request is complete", () -> call.requestComplete);
          call.sendHeaders();
          call.sendMessage(10);
          Thread sender =
              new Thread(
                  () -> {
                    while (System.nanoTime() - startNanos < (90 + number) * 1_000_000L) {
                      Thread.onSpinWait();
                    }
                    call.sendMessage(10);
                  });
          sender.start();
          int endCount = 0;
          raw.sendFrame(RawHttp2Client.PING, 0, 0, new byte[8]);
          raw.out.flush();
          while (endCount == 0) {
            RawHttp2Client.Frame frame = raw.readFrame();
            assertNotNull(frame, "an end of stream is received");
            endCount += frame.endsStream() ? 1 : 0;
          }
          sender.join();
          raw.sendFrame(RawHttp2Client.PING, 0, 0, new byte[] {1, 2, 3, 4, 5, 6, 7, 8});
          raw.out.flush();
          RawHttp2Client.Frame after = raw.readFrame();
          while (after.type() != RawHttp2Client.PING || after.payload()[0] != 1) {
            assertTrue(
                after.stream() == 0,
                "no frame of the call after its end of stream: " + after.type());
            after = raw.readFrame();
          }
        }
      }
      fixture.awaitNoLiveRequests();
    }
  }

  @Test
  void emptyClientStreamIsAnswered() throws Exception {
    try (EchoServer echo = new EchoServer();
        GrpcFixture fixture = new GrpcFixture().server(echo.port()).start()) {
      BlockingQueue<Object> results = results();
      StreamObserver<byte[]> requests =
          ClientCalls.asyncClientStreamingCall(
              fixture.channel().newCall(EchoServer.CLIENT_STREAMING, CallOptions.DEFAULT),
              GrpcFailureTest.observer(results));
      requests.onCompleted();
      assertArrayEquals("0".getBytes(), (byte[]) next(results));
      assertEquals(DONE, next(results));
    }
  }

  /** Some clients half-close with a separate frame, which may arrive late. */
  @ParameterizedTest
  @ValueSource(ints = {0, 5, 30, 200})
  void unaryCallWithLateHalfCloseIsAnswered(int millis) throws Exception {
    try (EchoServer echo = new EchoServer();
        GrpcFixture fixture = new GrpcFixture().server(echo.port()).start();
        RawHttp2Client raw = new RawHttp2Client(fixture.port())) {
      raw.sendFrame(
          RawHttp2Client.HEADERS,
          RawHttp2Client.END_HEADERS,
          1,
          RawHttp2Client.callHeaders("/timetable.Store/Unary"));
      raw.sendFrame(RawHttp2Client.DATA, 0, 1, RawHttp2Client.lengthPrefixed("late"));
      raw.out.flush();
      Thread.sleep(millis);
      raw.sendFrame(RawHttp2Client.DATA, RawHttp2Client.END_STREAM, 1, new byte[0]);
      raw.out.flush();
      StringBuilder data = new StringBuilder();
      RawHttp2Client.Frame frame = raw.readFrame();
      while (!frame.endsStream()) {
        if (frame.type() == RawHttp2Client.DATA) {
          data.append(new String(frame.payload()));
        }
        frame = raw.readFrame();
      }
      assertEquals(new String(RawHttp2Client.lengthPrefixed("late")), data.toString());
      assertEquals(1, echo.calls.get());
    }
  }

  /** Without free descriptors the call is still answered, by its server or with a refusal. */
  @Test
  void streamIsAnsweredWhenDescriptorsAreExhausted() throws Exception {
    try (EchoServer echo = new EchoServer();
        GrpcFixture fixture = new GrpcFixture().server(echo.port()).sockets(64).start()) {
      ManagedChannel channel = fixture.channel();
      BlockingQueue<Object> results = results();
      GrpcFailureTest.unary(channel, EchoServer.UNIMPLEMENTED, "", results);
      next(results); // The client is connected.
      List<Socket> silent = new ArrayList<>();
      try {
        for (int i = 0; i < 40; i++) {
          silent.add(new Socket("127.0.0.1", fixture.port()));
        }
        StreamObserver<byte[]> requests =
            ClientCalls.asyncBidiStreamingCall(
                channel.newCall(EchoServer.BIDI_STREAMING, CallOptions.DEFAULT),
                GrpcFailureTest.observer(results));
        requests.onNext(new byte[] {1});
        Object result = next(results);
        assertTrue(
            result instanceof byte[] || status(result).getCode() == Status.Code.UNAVAILABLE,
            String.valueOf(result));
        requests.onCompleted();
      } finally {
        for (Socket socket : silent) {
          socket.close();
        }
      }
      fixture.awaitNoLiveRequests();
    }
  }

  /**
   * A call in flight completes at its server when the list changes the server to HTTP/1.1; later
   * calls do not go there.
   */
  @Test
  void serverChangedToHttp1ByListGetsNoMoreGrpcCalls() throws Exception {
    try (RawHttp2Server changing = new RawHttp2Server(100);
        EchoServer other = new EchoServer();
        GrpcFixture fixture =
            new GrpcFixture()
                .memberLine("s-1 grpc://127.0.0.1:" + changing.port() + " a store 0 1 in_service")
                .memberLine("s-2 grpc://127.0.0.1:" + other.port() + " a store 0 1 in_service")
                .start()) {
      BlockingQueue<Object> results = results();
      for (int sent = 0; changing.calls.isEmpty(); sent++) {
        GrpcFailureTest.unary(fixture.channel(), EchoServer.UNSAFE, "x " + sent, results);
        Thread.sleep(5);
      }
      Await.until("a call is in flight", () -> changing.openCallCount() >= 1);
      Thread.sleep(50);
      results.clear();
      int inFlight = (int) changing.openCallCount();
      fixture.replaceMembers(
          "s-1 127.0.0.1:" + changing.port() + " a store 0 1 in_service",
          "s-2 grpc://127.0.0.1:" + other.port() + " a store 0 1 in_service");
      Await.until(
          "the list is applied",
          () -> {
            MembersStatus status = fixture.node().members().status();
            return status.acceptedTotal() == 2 && status.applied();
          });
      for (int i = 0; i < 30; i++) {
        assertServed(fixture.channel(), "z " + i);
      }
      int before = changing.calls.size();
      assertEquals(inFlight, before, "no call after the list was applied");
      changing.answerAll();
      for (int i = 0; i < inFlight; i++) {
        assertTrue(next(results) instanceof String, "calls in flight are answered");
      }
      assertServed(fixture.channel(), "w");
      assertEquals(before, changing.calls.size());
    }
  }

  /** No attempt is spent on a server without gRPC, however many there are. */
  @Test
  void serversWithoutGrpcAreNotTried() throws Exception {
    try (EchoServer echo = new EchoServer()) {
      GrpcFixture fixture = new GrpcFixture();
      for (int i = 0; i < 60; i++) {
        fixture.memberLine("h-" + i + " 127.0.0.1:" + (i + 10) + " a store 0 1 in_service");
      }
      fixture.memberLine("g-1 grpc://127.0.0.1:" + echo.port() + " a store 0 1 in_service");
      try (fixture) {
        fixture.start();
        for (int i = 0; i < 100; i++) {
          assertServed(fixture.channel(), "c " + i);
        }
        assertEquals(100, echo.calls.get());
      }
    }
  }

  /**
   * The status of a message one byte above the limit states its length and the limit. There is no
   * retry, and no server's window shrinks.
   */
  @Test
  void messageOneByteAboveLimitIsRejected() throws Exception {
    try (EchoServer echo = new EchoServer();
        EchoServer otherEcho = new EchoServer();
        GrpcFixture fixture =
            new GrpcFixture()
                .server(echo.port())
                .server(otherEcho.port())
                .extraConfig("most_message = 65535")
                .start()) {
      ManagedChannel channel = fixture.channel();
      for (int i = 0; i < 10; i++) {
        int before = echo.calls.get() + otherEcho.calls.get();
        BlockingQueue<Object> results = results();
        ClientCalls.asyncServerStreamingCall(
            channel.newCall(EchoServer.SERVER_STREAMING, CallOptions.DEFAULT),
            new byte[] {1, 64},
            GrpcFailureTest.observer(results));
        Status status = status(next(results));
        assertEquals(Status.Code.RESOURCE_EXHAUSTED, status.getCode());
        assertTrue(status.getDescription().contains("65536"), status.getDescription());
        assertTrue(status.getDescription().contains("65535"), status.getDescription());
        assertEquals(before + 1, echo.calls.get() + otherEcho.calls.get());
      }
      BlockingQueue<Object> results = results();
      for (int[] load : fixture.serverLoads().values()) {
        assertTrue(load[1] >= 32, "a window shrank to " + load[1]);
      }
      assertServed(channel, "after");
      GrpcFailureTest.unary(channel, EchoServer.UNARY, "x".repeat(65535), results);
      assertEquals(65535, ((String) next(results)).length());
      GrpcFailureTest.unary(channel, EchoServer.UNARY, "x".repeat(65536), results);
      Status status = (Status) next(results);
      assertEquals(Status.Code.RESOURCE_EXHAUSTED, status.getCode());
      assertTrue(status.getDescription().contains("65536"), status.getDescription());
    }
  }

  /** A client that does not read a 4 MiB answer does not block other calls on its connection. */
  @Test
  void stalledLargeAnswerDoesNotBlockOtherCalls() throws Exception {
    try (EchoServer echo = new EchoServer();
        GrpcFixture fixture = new GrpcFixture().server(echo.port()).start()) {
      ManagedChannel channel = fixture.channel();
      BlockingQueue<Object> large = results();
      ClientCall<byte[], byte[]> call = channel.newCall(EchoServer.UNARY, CallOptions.DEFAULT);
      call.start(
          new ClientCall.Listener<>() {
            @Override
            public void onMessage(byte[] message) {
              large.add(message.length);
            }

            @Override
            public void onClose(Status status, Metadata trailers) {
              large.add(status.getCode());
            }
          },
          new Metadata());
      call.sendMessage(new byte[4 << 20]);
      call.halfClose();
      Await.until("the call has run", () -> echo.calls.get() == 1);
      for (int i = 0; i < 40; i++) { // Few, because the large call has a deadline.
        assertServed(channel, "small " + i);
      }
      assertNull(large.poll());
      call.request(2);
      assertEquals(4 << 20, next(large));
      assertEquals(Status.Code.OK, next(large));
      fixture.awaitNoLiveRequests();
    }
  }

  /** Many idle streams wait, each occupying only its place in a window, and all of them end. */
  @Test
  void manyIdleStreamsCompleteWhenEnded() throws Exception {
    try (RawHttp2Server server = new RawHttp2Server(5000)) {
      GrpcFixture fixture = new GrpcFixture().extraConfig("most_streams = 3000");
      for (int i = 0; i < 80; i++) { // Each member has its own window.
        fixture.server(server.port());
      }
      try (fixture) {
        fixture.start();
        int streams = 1500; // At most 48 servers in a working set, with a window of 32 each.
        ManagedChannel channel = fixture.channel();
        BlockingQueue<Object> results = results();
        for (int i = 0; i < streams; i++) {
          ClientCalls.asyncServerStreamingCall(
              channel.newCall(EchoServer.SERVER_STREAMING, CallOptions.DEFAULT),
              new byte[] {1, 1},
              GrpcFailureTest.observer(results));
          int number = i;
          Await.until("call " + i, () -> server.calls.size() > number);
          server.calls.get(i).sendHeaders();
        }
        Await.until("all requests are complete", () -> server.openCallCount() == streams);
        assertNull(results.poll());
        server.calls.forEach(call -> call.sendTrailers("0"));
        for (int i = 0; i < streams; i++) {
          assertEquals(DONE, next(results));
        }
        fixture.awaitNoLiveRequests();
      }
    }
  }

  @Test
  void connectionsAboveLimitAreClosed() throws Exception {
    try (EchoServer echo = new EchoServer();
        GrpcFixture fixture =
            new GrpcFixture().server(echo.port()).extraConfig("most_connections = 3").start()) {
      List<RawHttp2Client> clients = new ArrayList<>();
      for (int i = 0; i < 3; i++) {
        RawHttp2Client client = new RawHttp2Client(fixture.port());
        client.out.flush();
        assertNotNull(client.readFrame(), "SETTINGS are received");
        clients.add(client);
      }
      try (Socket fourth = new Socket("127.0.0.1", fixture.port())) {
        fourth.setSoTimeout(30_000);
        assertEquals(
            -1, fourth.getInputStream().read(), "the connection is closed without any data");
      }
      clients.get(0).close();
      BlockingQueue<Object> results = results();
      Await.until(
          "a new connection is served",
          () -> {
            GrpcFailureTest.unary(fixture.channel(), EchoServer.UNARY, "x", results);
            try {
              return "x".equals(next(results));
            } catch (InterruptedException e) {
              throw new AssertionError(e);
            }
          });
      for (RawHttp2Client client : clients) {
        client.close();
      }
    }
  }

  /** A connection that the kernel of the server accepts, but that gets no SETTINGS, is closed. */
  @Test
  void connectionToSilentServerIsClosed() throws Exception {
    try (ServerSocket silent = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
        GrpcFixture fixture = new GrpcFixture().server(silent.getLocalPort()).start()) {
      BlockingQueue<Object> results = results();
      silent.setSoTimeout(30_000);
      ClientCalls.asyncUnaryCall(
          fixture.channel().newCall(EchoServer.UNSAFE, CallOptions.DEFAULT),
          new byte[1],
          GrpcFailureTest.observer(results));
      try (Socket accepted = silent.accept()) {
        accepted.setSoTimeout(30_000);
        accepted.getInputStream().readAllBytes(); // Times out if the connection is not closed.
      }
      // Nothing of the call was sent, so it may be refused although it is unsafe.
      assertEquals(Status.Code.UNAVAILABLE, status(next(results)).getCode());
      fixture.awaitNoLiveRequests();
    }
  }

  /** Servers treat more than three PINGs as abuse and close the connection with all its calls. */
  @Test
  void keepalivePingsDoNotEndQuietCall() throws Exception {
    try (EchoServer echo = new EchoServer();
        GrpcFixture fixture =
            new GrpcFixture()
                .server(echo.port())
                .extraConfig(
                    "[[grpc.method]]\npath = \"/timetable.Store/Sleep\"\nclass = \"publish\"")
                .start()) {
      BlockingQueue<Object> results = results();
      CallOptions options = CallOptions.DEFAULT.withDeadlineAfter(12, TimeUnit.SECONDS);
      ClientCalls.asyncUnaryCall(
          fixture.channel().newCall(EchoServer.SLEEP, options),
          new byte[1],
          GrpcFailureTest.observer(results));
      assertEquals(Status.Code.DEADLINE_EXCEEDED, status(next(results)).getCode());
    }
  }

  /** A method that the configuration declares as unary is buffered up to the message limit. */
  @Test
  void methodConfiguredAsUnaryIsLimited() throws Exception {
    try (EchoServer echo = new EchoServer();
        GrpcFixture fixture =
            new GrpcFixture()
                .server(echo.port())
                .extraConfig(
                    """
                    most_message = 100000
                    [[grpc.method]]
                    path = "/timetable.Store/Down"
                    class = "view"
                    mode = "unary"
                    """)
                .start()) {
      BlockingQueue<Object> results = results();
      ClientCalls.asyncServerStreamingCall(
          fixture.channel().newCall(EchoServer.SERVER_STREAMING, CallOptions.DEFAULT),
          new byte[] {3, 60},
          GrpcFailureTest.observer(results));
      assertEquals(Status.Code.RESOURCE_EXHAUSTED, status(next(results)).getCode());
      assertEquals(1, echo.calls.get());
    }
  }
}
