package heathswitch.proxy.grpc;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.grpc.CallOptions;
import io.grpc.ClientCall;
import io.grpc.ClientInterceptors;
import io.grpc.ManagedChannel;
import io.grpc.Metadata;
import io.grpc.MethodDescriptor;
import io.grpc.Status;
import io.grpc.StatusRuntimeException;
import io.grpc.stub.ClientCallStreamObserver;
import io.grpc.stub.ClientCalls;
import io.grpc.stub.ClientResponseObserver;
import io.grpc.stub.MetadataUtils;
import io.grpc.stub.StreamObserver;
import io.netty.handler.codec.http2.Http2Error;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import testing.Await;

/**
 * Tests failing and disappearing servers, races at the end of calls and connections, slow readers,
 * drains and the exhaustion of descriptors.
 */
@Timeout(120)
class GrpcFailureTest {
  private static final Metadata.Key<String> PUSHBACK =
      Metadata.Key.of("grpc-retry-pushback-ms", Metadata.ASCII_STRING_MARSHALLER);

  private static final MethodDescriptor<byte[], byte[]> HEALTH_CHECK =
      EchoServer.UNARY.toBuilder().setFullMethodName("grpc.health.v1.Health/Check").build();

  static StreamObserver<byte[]> observer(BlockingQueue<Object> results) {
    return new StreamObserver<>() {
      @Override
      public void onNext(byte[] value) {
        results.add(value);
      }

      @Override
      public void onError(Throwable t) {
        results.add(t);
      }

      @Override
      public void onCompleted() {
        results.add("done");
      }
    };
  }

  static void unary(
      ManagedChannel channel,
      MethodDescriptor<byte[], byte[]> method,
      String message,
      BlockingQueue<Object> results) {
    CallOptions options = CallOptions.DEFAULT.withDeadlineAfter(15, TimeUnit.SECONDS);
    ClientCalls.asyncUnaryCall(
        channel.newCall(method, options),
        message.getBytes(),
        new StreamObserver<>() {
          @Override
          public void onNext(byte[] value) {
            results.add(new String(value));
          }

          @Override
          public void onError(Throwable t) {
            results.add(Status.fromThrowable(t));
          }

          @Override
          public void onCompleted() {}
        });
  }

  /**
   * Grows the windows of the servers, which start small, with waves of calls that are held and then
   * answered together.
   */
  private static void growWindows(GrpcFixture fixture, int target, RawHttp2Server... servers)
      throws Exception {
    BlockingQueue<Object> results = new LinkedBlockingQueue<>();
    ManagedChannel channel = fixture.channel();
    for (int wave = 40; wave < target; wave = wave * 5 / 4) {
      int size = wave;
      for (int i = 0; i < size; i++) {
        unary(channel, EchoServer.UNARY, "w", results);
      }
      Await.until(
          "calls in a wave: " + size,
          () ->
              Stream.of(servers).mapToLong(RawHttp2Server::openCallCount).sum() + results.size()
                  >= size);
      Stream.of(servers).forEach(RawHttp2Server::answerAll);
      for (int i = 0; i < size; i++) {
        while (results.isEmpty()) { // Some calls may be second attempts.
          Stream.of(servers).forEach(RawHttp2Server::answerAll);
          Thread.sleep(1);
        }
        results.poll();
      }
    }
  }

  /**
   * A server refuses all its streams (REFUSED_STREAM) while about 200 are in flight. The calls did
   * not run, so they are retried on the other server whatever their class, or refused if its window
   * has no room. The failing server must not get a retry of each of them.
   */
  @Test
  void refusedStreamsAreRetriedOnOtherServer() throws Exception {
    try (RawHttp2Server healthy = new RawHttp2Server(1000);
        RawHttp2Server failing = new RawHttp2Server(1000);
        GrpcFixture fixture =
            new GrpcFixture()
                .server(healthy.port())
                .server(failing.port())
                .extraConfig("most_streams = 1000")
                .start()) {
      ManagedChannel channel = fixture.channel();
      BlockingQueue<Object> results = new LinkedBlockingQueue<>();
      int sent = 480;
      // How far the windows grow depends on the timing of the waves. Repeat until the failing
      // server holds 200 calls. On a busy machine answers look slow and windows shrink; after 60
      // tries, 40 calls are enough.
      for (int tries = 0; failing.openCallCount() < (tries < 60 ? 200 : 40); tries++) {
        assertTrue(tries < 150, "the windows do not grow");
        healthy.answerAll();
        failing.answerAll();
        growWindows(fixture, 1000, healthy, failing);
        healthy.calls.clear();
        failing.calls.clear();
        results.clear();
        for (int i = 0; i < sent; i++) {
          unary(channel, i % 2 == 0 ? EchoServer.UNARY : EchoServer.UNSAFE, "call", results);
        }
        Await.until(
            "all calls are in flight",
            () -> healthy.openCallCount() + failing.openCallCount() + results.size() >= sent);
      }
      List<RawHttp2Server.Call> inFlight = List.copyOf(failing.calls);
      // The healthy server answers its calls, which makes room for those of the failing one.
      healthy.answerImmediately = true;
      healthy.answerAll();
      Await.until(
          "the calls of the healthy server are answered",
          () -> results.size() == sent - inFlight.size());
      int healthyCallsBefore = healthy.calls.size();
      inFlight.forEach(call -> call.reset(Http2Error.REFUSED_STREAM));
      Await.until(
          "all calls are answered or back at the failing server",
          () -> results.size() + failing.openCallCount() == sent);
      int retriedOnFailing = failing.calls.size() - inFlight.size();
      assertTrue(retriedOnFailing <= 5, "retries on the failing server: " + retriedOnFailing);
      failing.answerAll();
      int served = 0;
      for (int i = 0; i < sent; i++) {
        Object result = results.poll(30, TimeUnit.SECONDS);
        boolean refused =
            result instanceof Status status && status.getCode() == Status.Code.UNAVAILABLE;
        assertTrue(refused || result instanceof String, String.valueOf(result));
        served += refused ? 0 : 1;
      }
      int retriedOnHealthy = healthy.calls.size() - healthyCallsBefore;
      assertTrue(
          retriedOnHealthy >= inFlight.size() / 4,
          "retried on the healthy server: " + retriedOnHealthy + " of " + inFlight.size());
      assertTrue(served >= healthyCallsBefore + retriedOnHealthy, "served " + served);
    }
  }

  /**
   * Streams that the server had not received when it sent GOAWAY are retried elsewhere; the others
   * complete.
   */
  @Test
  void streamsUnseenAtGoAwayAreRetriedElsewhere() throws Exception {
    try (EchoServer healthy = new EchoServer();
        RawHttp2Server leaving = new RawHttp2Server(1000);
        GrpcFixture fixture =
            new GrpcFixture().server(healthy.port()).server(leaving.port()).start()) {
      ManagedChannel channel = fixture.channel();
      BlockingQueue<Object> results = new LinkedBlockingQueue<>();
      int sent = 0;
      while (leaving.calls.size() < 5) {
        unary(channel, EchoServer.UNSAFE, "u " + sent++, results);
        Thread.sleep(1);
      }
      leaving.sendGoAway();
      for (int i = 0; i < 40; i++) {
        unary(channel, EchoServer.UNSAFE, "u " + sent++, results);
      }
      List<RawHttp2Server.Call> answered = new ArrayList<>();
      int served = 0;
      for (int i = 0; i < sent; i++) {
        Object result = null;
        while (result == null) {
          for (RawHttp2Server.Call call : leaving.calls) {
            if (call.requestComplete && !answered.contains(call)) {
              answered.add(call);
              call.answer("0");
            }
          }
          result = results.poll(5, TimeUnit.MILLISECONDS);
        }
        served += result instanceof String ? 1 : 0;
        boolean refused =
            result instanceof Status status && status.getCode() == Status.Code.UNAVAILABLE;
        assertTrue(refused || result instanceof String, String.valueOf(result));
      }
      // Each served call ran exactly once, on one of the servers, and no other call ran.
      assertEquals(served, healthy.runs.size() + answered.size());
      healthy.runs.forEach((call, runs) -> assertEquals(1, runs.get(), call));
      assertTrue(served >= 45, "served " + served);
    }
  }

  @Test
  void trailersWithoutStatusBecomeUnknown() throws Exception {
    try (RawHttp2Server raw = new RawHttp2Server(100);
        GrpcFixture fixture = new GrpcFixture().server(raw.port()).start()) {
      BlockingQueue<Object> results = new LinkedBlockingQueue<>();
      unary(fixture.channel(), EchoServer.UNSAFE, "x", results);
      Await.until(
          "the call has arrived", () -> raw.calls.size() == 1 && raw.calls.get(0).requestComplete);
      raw.calls.get(0).answer(null);
      Status status = (Status) results.poll(30, TimeUnit.SECONDS);
      assertEquals(Status.Code.UNKNOWN, status.getCode());
      assertEquals(1, raw.calls.size());
    }
  }

  /** The HTTP status of a server without gRPC is mapped as the gRPC protocol specifies. */
  @ParameterizedTest
  @CsvSource({
    "400, INTERNAL",
    "401, UNAUTHENTICATED",
    "403, PERMISSION_DENIED",
    "404, UNIMPLEMENTED",
    "429, UNAVAILABLE",
    "502, UNAVAILABLE",
    "503, UNAVAILABLE",
    "504, UNAVAILABLE",
    "418, UNKNOWN",
    "200, UNKNOWN"
  })
  void nonGrpcAnswerIsMappedFromHttpStatus(String http, Status.Code expected) throws Exception {
    Status status = statusOfSingleUnsafeCall(call -> call.answerHttp(http));
    assertEquals(expected, status.getCode());
    String words = String.valueOf(status.getDescription());
    assertTrue(words.contains(http.equals("200") ? "text/html" : http), words);
  }

  @ParameterizedTest
  @CsvSource({
    "CANCEL, CANCELLED",
    "ENHANCE_YOUR_CALM, RESOURCE_EXHAUSTED",
    "INADEQUATE_SECURITY, PERMISSION_DENIED",
    "INTERNAL_ERROR, INTERNAL",
    "STREAM_CLOSED, UNKNOWN"
  })
  void resetIsMappedFromErrorCode(Http2Error error, Status.Code expected) throws Exception {
    assertEquals(expected, statusOfSingleUnsafeCall(call -> call.reset(error)).getCode());
  }

  /**
   * Returns the status of an unsafe call that its only server ends in the given way, after the call
   * may have run.
   */
  private static Status statusOfSingleUnsafeCall(Consumer<RawHttp2Server.Call> endCall)
      throws Exception {
    try (RawHttp2Server raw = new RawHttp2Server(100);
        GrpcFixture fixture = new GrpcFixture().server(raw.port()).start()) {
      BlockingQueue<Object> results = new LinkedBlockingQueue<>();
      unary(fixture.channel(), EchoServer.UNSAFE, "x", results);
      Await.until(
          "the call has arrived", () -> raw.calls.size() == 1 && raw.calls.get(0).requestComplete);
      endCall.accept(raw.calls.get(0));
      Status status = (Status) results.poll(30, TimeUnit.SECONDS);
      assertEquals(1, raw.calls.size());
      fixture.awaitNoLiveRequests();
      return status;
    }
  }

  /**
   * The kernel of the server acknowledges data, but the server hangs: the PING times out, and the
   * call ends long before its deadline.
   */
  @Test
  void halfClosedStreamToHungServerIsEnded() throws Exception {
    try (RawHttp2Server raw = new RawHttp2Server(100);
        GrpcFixture fixture = new GrpcFixture().server(raw.port()).start()) {
      BlockingQueue<Object> results = new LinkedBlockingQueue<>();
      StreamObserver<byte[]> requests =
          ClientCalls.asyncBidiStreamingCall(
              fixture.channel().newCall(EchoServer.BIDI_STREAMING, CallOptions.DEFAULT),
              observer(results));
      requests.onNext(new byte[] {1});
      requests.onCompleted();
      Await.until(
          "the call has arrived", () -> raw.calls.size() == 1 && raw.calls.get(0).requestComplete);
      raw.calls.get(0).sendHeaders();
      StatusRuntimeException error = (StatusRuntimeException) results.poll(30, TimeUnit.SECONDS);
      assertEquals(Status.Code.INTERNAL, error.getStatus().getCode());
      assertTrue(raw.pings.get() > 0);
      assertEquals(0, fixture.liveRequestCount());
    }
  }

  /** A cancellation by the client may race with the answer; no request may stay live. */
  @Test
  void cancellationRacingTrailersLeavesNoLiveRequests() throws Exception {
    try (RawHttp2Server raw = new RawHttp2Server(1000);
        GrpcFixture fixture = new GrpcFixture().server(raw.port()).start()) {
      ManagedChannel channel = fixture.channel();
      for (int i = 0; i < 50; i++) {
        int size = i + 1; // Distinguishes the calls, since a late call may be hedged.
        ClientCall<byte[], byte[]> call = channel.newCall(EchoServer.UNARY, CallOptions.DEFAULT);
        BlockingQueue<Object> results = new LinkedBlockingQueue<>();
        ClientCalls.asyncUnaryCall(call, new byte[size], observer(results));
        Await.until("the call has arrived", () -> raw.completeCall(size) != null);
        Thread other = new Thread(() -> raw.completeCall(size).answer("0"));
        other.start();
        call.cancel("cancelled by the test", null);
        other.join();
        assertTrue(results.poll(30, TimeUnit.SECONDS) != null);
      }
      fixture.awaitNoLiveRequests();
    }
  }

  /** Calls beyond the limit in the SETTINGS of a connection use further connections. */
  @Test
  void maxConcurrentStreamsOfServerIsRespected() throws Exception {
    try (RawHttp2Server raw = new RawHttp2Server(3);
        GrpcFixture fixture = new GrpcFixture().server(raw.port()).start()) {
      BlockingQueue<Object> results = new LinkedBlockingQueue<>();
      raw.answerImmediately = true;
      unary(fixture.channel(), EchoServer.UNSAFE, "first", results);
      results.poll(30, TimeUnit.SECONDS);
      raw.answerImmediately = false;
      raw.calls.clear();
      ManagedChannel channel = fixture.channel();
      for (int i = 0; i < 10; i++) {
        unary(channel, EchoServer.UNSAFE, "x", results);
      }
      Await.until("all calls", () -> raw.calls.size() == 10);
      Await.until(
          "all requests are complete",
          () -> raw.calls.stream().allMatch(call -> call.requestComplete));
      raw.calls.forEach(call -> call.answer("0"));
      for (int i = 0; i < 10; i++) {
        assertTrue(results.poll(30, TimeUnit.SECONDS) instanceof String);
      }
      assertTrue(raw.connections.size() >= 4, "connections " + raw.connections.size());
    }
  }

  @Test
  void callWithoutServerIsRefusedWithPushback() throws Exception {
    try (GrpcFixture fixture = new GrpcFixture().server(1).start()) {
      BlockingQueue<Object> results = new LinkedBlockingQueue<>();
      ClientCalls.asyncUnaryCall(
          fixture.channel().newCall(EchoServer.UNSAFE, CallOptions.DEFAULT),
          new byte[1],
          observer(results));
      StatusRuntimeException error = (StatusRuntimeException) results.poll(30, TimeUnit.SECONDS);
      assertEquals(Status.Code.UNAVAILABLE, error.getStatus().getCode());
      assertTrue(Integer.parseInt(error.getTrailers().get(PUSHBACK)) > 0);
    }
  }

  /** The call may have had an effect, so client libraries must not retry it by themselves. */
  @Test
  void unsafeCallFailsWithoutRetryWhenServerDies() throws Exception {
    EchoServer echo = new EchoServer();
    MethodDescriptor<byte[], byte[]> sleep = EchoServer.SLEEP;
    try (GrpcFixture fixture =
        new GrpcFixture()
            .server(echo.port())
            .extraConfig("[[grpc.method]]\npath = \"/timetable.Store/Sleep\"\nclass = \"publish\"")
            .start()) {
      BlockingQueue<Object> results = new LinkedBlockingQueue<>();
      ClientCalls.asyncUnaryCall(
          fixture.channel().newCall(sleep, CallOptions.DEFAULT), new byte[1], observer(results));
      Await.until("running", () -> echo.calls.get() == 1);
      echo.close();
      StatusRuntimeException error = (StatusRuntimeException) results.poll(30, TimeUnit.SECONDS);
      assertEquals("-1", error.getTrailers().get(PUSHBACK));
      assertTrue(error.getStatus().getCode() != Status.Code.OK);
    }
  }

  /** The balancer passes the backpressure of a client that does not read on to the sender. */
  @Test
  void slowReaderAppliesBackpressureToSender() throws Exception {
    try (EchoServer echo = new EchoServer();
        GrpcFixture fixture = new GrpcFixture().server(echo.port()).start()) {
      AtomicInteger sentCount = new AtomicInteger();
      List<ClientCallStreamObserver<byte[]>> calls = new ArrayList<>();
      BlockingQueue<Object> results = new LinkedBlockingQueue<>();
      int messages = 400;
      byte[] message = new byte[64 << 10];
      ClientCalls.asyncBidiStreamingCall(
          fixture.channel().newCall(EchoServer.BIDI_STREAMING, CallOptions.DEFAULT),
          new ClientResponseObserver<byte[], byte[]>() {
            @Override
            public void beforeStart(ClientCallStreamObserver<byte[]> call) {
              calls.add(call);
              call.disableAutoRequestWithInitial(0);
              call.setOnReadyHandler(
                  () -> {
                    while (call.isReady() && sentCount.get() < messages) {
                      call.onNext(message);
                      if (sentCount.incrementAndGet() == messages) {
                        call.onCompleted();
                      }
                    }
                  });
            }

            @Override
            public void onNext(byte[] value) {
              results.add(value);
            }

            @Override
            public void onError(Throwable t) {
              results.add(t);
            }

            @Override
            public void onCompleted() {
              results.add("done");
            }
          });
      // The sender stops long before everything is sent: wait until it makes no progress.
      int[] last = {-1};
      int[] unchangedCount = {0};
      Await.until(
          "the sender stops",
          () -> {
            int now = sentCount.get();
            unchangedCount[0] = now == last[0] && now > 0 ? unchangedCount[0] + 1 : 0;
            last[0] = now;
            return unchangedCount[0] > 200;
          });
      assertTrue(sentCount.get() < messages / 2, "sent " + sentCount.get() + " of " + messages);
      calls.get(0).request(messages + 1);
      for (int i = 0; i < messages; i++) {
        assertEquals(message.length, ((byte[]) results.poll(30, TimeUnit.SECONDS)).length);
      }
      assertEquals("done", results.poll(30, TimeUnit.SECONDS));
    }
  }

  /** Clients must not send the headers that gateways exchange with each other. */
  @Test
  void forbiddenHeaderIsRejected() throws Exception {
    try (EchoServer echo = new EchoServer();
        GrpcFixture fixture = new GrpcFixture().server(echo.port()).start()) {
      fixture.node().grpc().setForbiddenHeader("x-site-trail");
      Metadata headers = new Metadata();
      headers.put(Metadata.Key.of("x-site-trail", Metadata.ASCII_STRING_MARSHALLER), "1;a");
      var channel =
          ClientInterceptors.intercept(
              fixture.channel(), MetadataUtils.newAttachHeadersInterceptor(headers));
      StatusRuntimeException error =
          assertThrows(
              StatusRuntimeException.class,
              () ->
                  ClientCalls.blockingUnaryCall(
                      channel, EchoServer.UNARY, CallOptions.DEFAULT, new byte[1]));
      assertEquals(Status.Code.INVALID_ARGUMENT, error.getStatus().getCode());
      assertEquals(0, echo.calls.get());
    }
  }

  @Test
  void healthCheckIsAnswered() throws Exception {
    try (GrpcFixture fixture = new GrpcFixture().server(1).start()) {
      byte[] serving =
          ClientCalls.blockingUnaryCall(
              fixture.channel(), HEALTH_CHECK, CallOptions.DEFAULT, new byte[0]);
      assertArrayEquals(new byte[] {8, 1}, serving);
    }
  }

  /** Calls in progress when a drain starts are completed before the drain ends. */
  @Test
  void drainLetsCallsFinish() throws Exception {
    try (EchoServer echo = new EchoServer();
        GrpcFixture fixture = new GrpcFixture().server(echo.port()).start()) {
      BlockingQueue<Object> results = new LinkedBlockingQueue<>();
      StreamObserver<byte[]> requests =
          ClientCalls.asyncBidiStreamingCall(
              fixture.channel().newCall(EchoServer.BIDI_STREAMING, CallOptions.DEFAULT),
              observer(results));
      requests.onNext(new byte[] {1});
      assertArrayEquals(new byte[] {1}, (byte[]) results.poll(30, TimeUnit.SECONDS));
      var drained = fixture.node().node().shutdown().drain();
      requests.onNext(new byte[] {2});
      assertArrayEquals(new byte[] {2}, (byte[]) results.poll(30, TimeUnit.SECONDS));
      requests.onCompleted();
      assertEquals("done", results.poll(30, TimeUnit.SECONDS));
      assertTrue(drained.await(30, TimeUnit.SECONDS));
    }
  }

  /** A client connection at its maximum age is closed gracefully: no call is lost. */
  @Test
  void agedConnectionIsReplacedWithoutLosingCalls() throws Exception {
    try (EchoServer echo = new EchoServer();
        GrpcFixture fixture =
            new GrpcFixture().server(echo.port()).extraConfig("connection_age = \"1s\"").start()) {
      ManagedChannel channel = fixture.channel();
      long until = System.nanoTime() + 3_000_000_000L;
      int calls = 0;
      while (System.nanoTime() < until) {
        CallOptions options = CallOptions.DEFAULT.withDeadlineAfter(15, TimeUnit.SECONDS);
        ClientCalls.blockingUnaryCall(
            channel, EchoServer.UNSAFE, options, ("c " + calls++).getBytes());
      }
      assertEquals(calls, echo.calls.get());
    }
  }

  /**
   * A retry carries the number of previous attempts (gRFC A6); a first attempt has no such header.
   */
  @Test
  void retryCarriesNumberOfPreviousAttempts() throws Exception {
    try (RawHttp2Server one = new RawHttp2Server(100);
        RawHttp2Server two = new RawHttp2Server(100);
        GrpcFixture fixture = new GrpcFixture().server(one.port()).server(two.port()).start()) {
      BlockingQueue<Object> results = new LinkedBlockingQueue<>();
      unary(fixture.channel(), EchoServer.UNSAFE, "x", results);
      Await.until("the first attempt", () -> one.openCallCount() + two.openCallCount() == 1);
      RawHttp2Server first = one.openCallCount() == 1 ? one : two;
      RawHttp2Server second = first == one ? two : one;
      assertEquals(null, first.calls.get(0).headers.get("grpc-previous-rpc-attempts"));
      first.calls.get(0).reset(Http2Error.REFUSED_STREAM);
      Await.until("the second attempt", () -> second.openCallCount() == 1);
      assertEquals("1", second.calls.get(0).headers.get("grpc-previous-rpc-attempts").toString());
      second.answerAll();
      assertTrue(results.poll(30, TimeUnit.SECONDS) instanceof String);
    }
  }

  /** When silent clients use up the descriptors, calls are refused or served, but not lost. */
  @Test
  void callsAreAnsweredWhenDescriptorsAreExhausted() throws Exception {
    try (EchoServer echo = new EchoServer();
        GrpcFixture fixture = new GrpcFixture().server(echo.port()).sockets(64).start()) {
      List<Socket> idleSockets = new ArrayList<>();
      ManagedChannel channel = fixture.channel();
      BlockingQueue<Object> results = new LinkedBlockingQueue<>();
      unary(channel, HEALTH_CHECK, "", results);
      results.poll(30, TimeUnit.SECONDS);
      try {
        for (int i = 0; i < 14; i++) {
          idleSockets.add(new Socket("127.0.0.1", fixture.port()));
        }
        unary(channel, EchoServer.UNSAFE, "x", results);
        Object result = results.poll(30, TimeUnit.SECONDS);
        boolean refused =
            result instanceof Status status && status.getCode() == Status.Code.UNAVAILABLE;
        assertTrue(refused || "x".equals(result), String.valueOf(result));
      } finally {
        for (Socket socket : idleSockets) {
          socket.close();
        }
      }
      Await.until(
          "served again",
          () -> {
            unary(channel, EchoServer.UNSAFE, "y", results);
            try {
              return "y".equals(results.poll(30, TimeUnit.SECONDS));
            } catch (InterruptedException e) {
              throw new AssertionError(e);
            }
          });
    }
  }
}
