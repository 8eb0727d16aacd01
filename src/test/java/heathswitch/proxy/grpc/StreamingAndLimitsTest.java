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

/** Calls that the table says nothing of, told from their traffic; bounds; what servers speak. */
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

  /** Calls until it is served: a server that looks slow on a busy machine is rested for a while. */
  private static void served(ManagedChannel channel, String text) throws Exception {
    BlockingQueue<Object> results = results();
    Await.until(
        "served",
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

  /** What was sent to the server that never ran it goes whole to the next one. */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void aSecondMessageComesJustAsTheFirstAttemptFails(boolean messageFirst) throws Exception {
    for (int round = 0; round < 5; round++) {
      try (RawHttp2Server one = new RawHttp2Server(100);
          RawHttp2Server two = new RawHttp2Server(100);
          GrpcFixture fixture = new GrpcFixture().server(one.port()).server(two.port()).start()) {
        BlockingQueue<Object> results = results();
        StreamObserver<byte[]> to =
            ClientCalls.asyncClientStreamingCall(
                fixture.channel().newCall(EchoServer.UP, CallOptions.DEFAULT),
                GrpcFailureTest.observer(results));
        to.onNext(new byte[10]);
        Await.until("begun", () -> one.calls.size() + two.calls.size() == 1);
        RawHttp2Server first = one.calls.isEmpty() ? two : one;
        RawHttp2Server second = first == one ? two : one;
        if (messageFirst) {
          to.onNext(new byte[20]);
          first.calls.get(0).reset(Http2Error.REFUSED_STREAM);
        } else {
          first.calls.get(0).reset(Http2Error.REFUSED_STREAM);
          to.onNext(new byte[20]);
        }
        to.onCompleted();
        Await.until("whole elsewhere", () -> second.whole() == 1);
        assertEquals(15 + 25, second.calls.get(0).bytes.get());
        second.answerAll();
        assertEquals(1, ((byte[]) next(results)).length);
        assertEquals(DONE, next(results));
        assertEquals(1, first.calls.size() + second.calls.size() - 1);
        fixture.awaitNothingLeft();
      }
    }
  }

  /** However the two fall, the caller gets one end and nothing behind it. */
  @Test
  void aSecondMessageOfTheAnswerComesJustAsTheDeadlinePasses() throws Exception {
    try (RawHttp2Server server = new RawHttp2Server(100);
        GrpcFixture fixture = new GrpcFixture().server(server.port()).start()) {
      for (int i = 0; i < 20; i++) {
        int number = i;
        try (RawHttp2Client raw = new RawHttp2Client(fixture.port())) {
          byte[] head = RawHttp2Client.call("/timetable.Store/Down", "grpc-timeout", "100m");
          raw.frame(RawHttp2Client.HEADERS, RawHttp2Client.END_HEADERS, 1, head);
          raw.frame(RawHttp2Client.DATA, RawHttp2Client.END_STREAM, 1, RawHttp2Client.message("x"));
          raw.out.flush();
          long began = System.nanoTime();
          Await.until("the call", () -> server.calls.size() > number);
          RawHttp2Server.Call call = server.calls.get(i);
          Await.until("whole", () -> call.whole);
          call.begin();
          call.message(10);
          Thread sender =
              new Thread(
                  () -> {
                    while (System.nanoTime() - began < (90 + number) * 1_000_000L) {
                      Thread.onSpinWait();
                    }
                    call.message(10);
                  });
          sender.start();
          int ends = 0;
          raw.frame(RawHttp2Client.PING, 0, 0, new byte[8]);
          raw.out.flush();
          while (ends == 0) {
            RawHttp2Client.Frame frame = raw.read();
            assertNotNull(frame, "an end comes");
            ends += frame.last() ? 1 : 0;
          }
          sender.join();
          raw.frame(RawHttp2Client.PING, 0, 0, new byte[] {1, 2, 3, 4, 5, 6, 7, 8});
          raw.out.flush();
          RawHttp2Client.Frame after = raw.read();
          while (after.type() != RawHttp2Client.PING || after.payload()[0] != 1) {
            assertTrue(after.stream() == 0, "nothing of the call behind its end: " + after.type());
            after = raw.read();
          }
        }
      }
      fixture.awaitNothingLeft();
    }
  }

  @Test
  void aStreamOfNoMessageAtAll() throws Exception {
    try (EchoServer echo = new EchoServer();
        GrpcFixture fixture = new GrpcFixture().server(echo.port()).start()) {
      BlockingQueue<Object> results = results();
      StreamObserver<byte[]> to =
          ClientCalls.asyncClientStreamingCall(
              fixture.channel().newCall(EchoServer.UP, CallOptions.DEFAULT),
              GrpcFailureTest.observer(results));
      to.onCompleted();
      assertArrayEquals("0".getBytes(), (byte[]) next(results));
      assertEquals(DONE, next(results));
    }
  }

  /** Some clients end their call in a frame of its own, and may be slow to. */
  @ParameterizedTest
  @ValueSource(ints = {0, 5, 30, 200})
  void theEndOfAUnaryCallComesLate(int millis) throws Exception {
    try (EchoServer echo = new EchoServer();
        GrpcFixture fixture = new GrpcFixture().server(echo.port()).start();
        RawHttp2Client raw = new RawHttp2Client(fixture.port())) {
      raw.frame(
          RawHttp2Client.HEADERS,
          RawHttp2Client.END_HEADERS,
          1,
          RawHttp2Client.call("/timetable.Store/Unary"));
      raw.frame(RawHttp2Client.DATA, 0, 1, RawHttp2Client.message("late"));
      raw.out.flush();
      Thread.sleep(millis);
      raw.frame(RawHttp2Client.DATA, RawHttp2Client.END_STREAM, 1, new byte[0]);
      raw.out.flush();
      StringBuilder data = new StringBuilder();
      RawHttp2Client.Frame frame = raw.read();
      while (!frame.last()) {
        if (frame.type() == RawHttp2Client.DATA) {
          data.append(new String(frame.payload()));
        }
        frame = raw.read();
      }
      assertEquals(new String(RawHttp2Client.message("late")), data.toString());
      assertEquals(1, echo.calls.get());
    }
  }

  /** It is answered all the same, by a refusal or by its server. */
  @Test
  void anUndeclaredStreamWhenNoDescriptorIsLeft() throws Exception {
    try (EchoServer echo = new EchoServer();
        GrpcFixture fixture = new GrpcFixture().server(echo.port()).sockets(64).start()) {
      ManagedChannel channel = fixture.channel();
      BlockingQueue<Object> results = results();
      GrpcFailureTest.unary(channel, EchoServer.NONE, "", results);
      next(results); // The client has its connection.
      List<Socket> silent = new ArrayList<>();
      try {
        for (int i = 0; i < 40; i++) {
          silent.add(new Socket("127.0.0.1", fixture.port()));
        }
        StreamObserver<byte[]> to =
            ClientCalls.asyncBidiStreamingCall(
                channel.newCall(EchoServer.PING, CallOptions.DEFAULT),
                GrpcFailureTest.observer(results));
        to.onNext(new byte[] {1});
        Object result = next(results);
        assertTrue(
            result instanceof byte[] || status(result).getCode() == Status.Code.UNAVAILABLE,
            String.valueOf(result));
        to.onCompleted();
      } finally {
        for (Socket socket : silent) {
          socket.close();
        }
      }
      fixture.awaitNothingLeft();
    }
  }

  /** A call that is out when its server turns HTTP/1.1 ends there; none that follows goes there. */
  @Test
  void aListTurnsAServerFromOneProtocolIntoTheOther() throws Exception {
    try (RawHttp2Server turning = new RawHttp2Server(100);
        EchoServer other = new EchoServer();
        GrpcFixture fixture =
            new GrpcFixture()
                .line("s-1 grpc://127.0.0.1:" + turning.port() + " a store 0 1 in_service")
                .line("s-2 grpc://127.0.0.1:" + other.port() + " a store 0 1 in_service")
                .start()) {
      BlockingQueue<Object> results = results();
      for (int sent = 0; turning.calls.isEmpty(); sent++) {
        GrpcFailureTest.unary(fixture.channel(), EchoServer.UNSAFE, "x " + sent, results);
        Thread.sleep(5);
      }
      Await.until("one is out", () -> turning.whole() >= 1);
      Thread.sleep(50);
      results.clear();
      int out = (int) turning.whole();
      fixture.rewrite(
          "s-1 127.0.0.1:" + turning.port() + " a store 0 1 in_service",
          "s-2 grpc://127.0.0.1:" + other.port() + " a store 0 1 in_service");
      Await.until(
          "the list is taken",
          () -> {
            MembersStatus status = fixture.node().members().status();
            return status.acceptedTotal() == 2 && status.applied();
          });
      for (int i = 0; i < 30; i++) {
        served(fixture.channel(), "z " + i);
      }
      int before = turning.calls.size();
      assertEquals(out, before, "no call after the list");
      turning.answerAll();
      for (int i = 0; i < out; i++) {
        assertTrue(next(results) instanceof String, "what was out is answered");
      }
      served(fixture.channel(), "w");
      assertEquals(before, turning.calls.size());
    }
  }

  /** None of a call's attempts is spent on a server that cannot take it, however many there are. */
  @Test
  void serversThatSpeakHttpAloneAreNotTried() throws Exception {
    try (EchoServer echo = new EchoServer()) {
      GrpcFixture fixture = new GrpcFixture();
      for (int i = 0; i < 60; i++) {
        fixture.line("h-" + i + " 127.0.0.1:" + (i + 10) + " a store 0 1 in_service");
      }
      fixture.line("g-1 grpc://127.0.0.1:" + echo.port() + " a store 0 1 in_service");
      try (fixture) {
        fixture.start();
        for (int i = 0; i < 100; i++) {
          served(fixture.channel(), "c " + i);
        }
        assertEquals(100, echo.calls.get());
      }
    }
  }

  /**
   * One byte over is told with both figures, tried nowhere else, and no server is blamed for it.
   */
  @Test
  void anAnswerOneByteOverTheBound() throws Exception {
    try (EchoServer echo = new EchoServer();
        EchoServer twin = new EchoServer();
        GrpcFixture fixture =
            new GrpcFixture()
                .server(echo.port())
                .server(twin.port())
                .with("most_message = 65535")
                .start()) {
      ManagedChannel channel = fixture.channel();
      for (int i = 0; i < 10; i++) {
        int before = echo.calls.get() + twin.calls.get();
        BlockingQueue<Object> results = results();
        ClientCalls.asyncServerStreamingCall(
            channel.newCall(EchoServer.DOWN, CallOptions.DEFAULT),
            new byte[] {1, 64},
            GrpcFailureTest.observer(results));
        Status status = status(next(results));
        assertEquals(Status.Code.RESOURCE_EXHAUSTED, status.getCode());
        assertTrue(status.getDescription().contains("65536"), status.getDescription());
        assertTrue(status.getDescription().contains("65535"), status.getDescription());
        assertEquals(before + 1, echo.calls.get() + twin.calls.get());
      }
      BlockingQueue<Object> results = results();
      for (int[] load : fixture.loads().values()) {
        assertTrue(load[1] >= 32, "a window was cut to " + load[1]);
      }
      served(channel, "after");
      GrpcFailureTest.unary(channel, EchoServer.UNARY, "x".repeat(65535), results);
      assertEquals(65535, ((String) next(results)).length());
      GrpcFailureTest.unary(channel, EchoServer.UNARY, "x".repeat(65536), results);
      Status status = (Status) next(results);
      assertEquals(Status.Code.RESOURCE_EXHAUSTED, status.getCode());
      assertTrue(status.getDescription().contains("65536"), status.getDescription());
    }
  }

  /** A caller that takes nothing of 4 MiB holds up nobody else on its connection. */
  @Test
  void aStalledWindowUnderALargeAnswer() throws Exception {
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
      Await.until("it has run", () -> echo.calls.get() == 1);
      for (int i = 0; i < 40; i++) { // Few, as the large one has a deadline.
        served(channel, "small " + i);
      }
      assertNull(large.poll());
      call.request(2);
      assertEquals(4 << 20, next(large));
      assertEquals(Status.Code.OK, next(large));
      fixture.awaitNothingLeft();
    }
  }

  /** They wait, cost nothing but their place, and all end. */
  @Test
  void manyIdleStreams() throws Exception {
    try (RawHttp2Server server = new RawHttp2Server(5000)) {
      GrpcFixture fixture = new GrpcFixture().with("most_streams = 3000");
      for (int i = 0; i < 80; i++) { // Each entry has a window of its own.
        fixture.server(server.port());
      }
      try (fixture) {
        fixture.start();
        int streams = 1500; // A working set has 48 servers at most, each with a window of 32.
        ManagedChannel channel = fixture.channel();
        BlockingQueue<Object> results = results();
        for (int i = 0; i < streams; i++) {
          ClientCalls.asyncServerStreamingCall(
              channel.newCall(EchoServer.DOWN, CallOptions.DEFAULT),
              new byte[] {1, 1},
              GrpcFailureTest.observer(results));
          int number = i;
          Await.until("call " + i, () -> server.calls.size() > number);
          server.calls.get(i).begin();
        }
        Await.until("all whole", () -> server.whole() == streams);
        assertNull(results.poll());
        server.calls.forEach(call -> call.trailers("0"));
        for (int i = 0; i < streams; i++) {
          assertEquals(DONE, next(results));
        }
        fixture.awaitNothingLeft();
      }
    }
  }

  @Test
  void noMoreConnectionsThanTheTableSays() throws Exception {
    try (EchoServer echo = new EchoServer();
        GrpcFixture fixture =
            new GrpcFixture().server(echo.port()).with("most_connections = 3").start()) {
      List<RawHttp2Client> clients = new ArrayList<>();
      for (int i = 0; i < 3; i++) {
        RawHttp2Client client = new RawHttp2Client(fixture.port());
        client.out.flush();
        assertNotNull(client.read(), "its SETTINGS come");
        clients.add(client);
      }
      try (Socket fourth = new Socket("127.0.0.1", fixture.port())) {
        fourth.setSoTimeout(30_000);
        assertEquals(-1, fourth.getInputStream().read(), "it is ended, and nothing is said on it");
      }
      clients.get(0).close();
      BlockingQueue<Object> results = results();
      Await.until(
          "there is room again",
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

  /** Its kernel takes the connection and nobody speaks: it is not kept for good. */
  @Test
  void aServerThatAcceptsAndSaysNothingIsLeft() throws Exception {
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
        accepted.getInputStream().readAllBytes(); // Fails by its time-out if it is not ended.
      }
      // Nothing of the call was sent, so that it may be refused though it is unsafe.
      assertEquals(Status.Code.UNAVAILABLE, status(next(results)).getCode());
      fixture.awaitNothingLeft();
    }
  }

  /** Servers take PINGs beyond the third for abuse, and would end the connection with all calls. */
  @Test
  void aQuietCallIsNotLostByBeingAskedAfter() throws Exception {
    try (EchoServer echo = new EchoServer();
        GrpcFixture fixture =
            new GrpcFixture()
                .server(echo.port())
                .with("[[grpc.method]]\npath = \"/timetable.Store/Sleep\"\nclass = \"publish\"")
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

  /** The table can still fix what a method is. */
  @Test
  void aMethodThatIsFixedAsUnaryIsBounded() throws Exception {
    try (EchoServer echo = new EchoServer();
        GrpcFixture fixture =
            new GrpcFixture()
                .server(echo.port())
                .with(
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
          fixture.channel().newCall(EchoServer.DOWN, CallOptions.DEFAULT),
          new byte[] {3, 60},
          GrpcFailureTest.observer(results));
      assertEquals(Status.Code.RESOURCE_EXHAUSTED, status(next(results)).getCode());
      assertEquals(1, echo.calls.get());
    }
  }
}
