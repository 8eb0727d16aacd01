package heathswitch.proxy.grpc;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.grpc.CallOptions;
import io.grpc.Channel;
import io.grpc.ClientCall;
import io.grpc.ClientInterceptors;
import io.grpc.Metadata;
import io.grpc.MethodDescriptor;
import io.grpc.Status;
import io.grpc.StatusRuntimeException;
import io.grpc.stub.ClientCalls;
import io.grpc.stub.MetadataUtils;
import io.grpc.stub.StreamObserver;
import java.util.Iterator;
import java.util.List;
import java.util.Random;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.function.Executable;
import testing.Await;

/** Runs the published gRPC interop cases with grpc-java on both sides of the balancer. */
@Timeout(120)
class GrpcInteropTest {
  private EchoServer echo;
  private GrpcFixture fixture;

  @BeforeEach
  void start() throws Exception {
    echo = new EchoServer();
    fixture = new GrpcFixture().server(echo.port()).start();
  }

  @AfterEach
  void stop() throws Exception {
    Await.until("no live requests", () -> liveRequestCount() == 0);
    fixture.close();
    echo.close();
  }

  private int liveRequestCount() {
    try {
      return fixture.liveRequestCount();
    } catch (Exception e) {
      throw new AssertionError(e);
    }
  }

  private byte[] unary(MethodDescriptor<byte[], byte[]> method, byte[] message) {
    return ClientCalls.blockingUnaryCall(
        fixture.channel(),
        method,
        CallOptions.DEFAULT.withDeadlineAfter(15, TimeUnit.SECONDS),
        message);
  }

  private static Status.Code code(Executable call) {
    return assertThrows(StatusRuntimeException.class, call).getStatus().getCode();
  }

  private static byte[] random(int size) {
    byte[] bytes = new byte[size];
    new Random(size).nextBytes(bytes);
    return bytes;
  }

  @Test
  void emptyUnary() {
    assertArrayEquals(new byte[0], unary(EchoServer.UNARY, new byte[0]));
  }

  @Test
  void largeUnary() {
    for (int size : new int[] {271_828, 64 << 10, 1 << 20, (4 << 20) - 5}) {
      assertArrayEquals(random(size), unary(EchoServer.UNARY, random(size)));
    }
  }

  @Test
  void messageAboveLimitIsRejected() {
    assertEquals(
        Status.Code.RESOURCE_EXHAUSTED, code(() -> unary(EchoServer.UNARY, random((4 << 20) + 1))));
    assertEquals(0, echo.calls.get());
  }

  @Test
  void serverStreaming() {
    Iterator<byte[]> answers =
        ClientCalls.blockingServerStreamingCall(
            fixture.channel(),
            EchoServer.SERVER_STREAMING,
            CallOptions.DEFAULT,
            new byte[] {100, 100});
    int count = 0;
    while (answers.hasNext()) {
      assertEquals(100 << 10, answers.next().length);
      count++;
    }
    assertEquals(100, count);
  }

  @Test
  void clientStreaming() throws Exception {
    BlockingQueue<Object> answers = new LinkedBlockingQueue<>();
    StreamObserver<byte[]> requests =
        ClientCalls.asyncClientStreamingCall(
            fixture.channel().newCall(EchoServer.CLIENT_STREAMING, CallOptions.DEFAULT),
            observer(answers));
    for (int size : new int[] {27182, 8, 1828, 45904, 500_000}) {
      requests.onNext(random(size));
    }
    requests.onCompleted();
    assertArrayEquals("574922".getBytes(), (byte[]) answers.poll(30, TimeUnit.SECONDS));
    assertEquals("done", answers.poll(30, TimeUnit.SECONDS));
  }

  @Test
  void pingPong() throws Exception {
    BlockingQueue<Object> answers = new LinkedBlockingQueue<>();
    StreamObserver<byte[]> requests =
        ClientCalls.asyncBidiStreamingCall(
            fixture.channel().newCall(EchoServer.BIDI_STREAMING, CallOptions.DEFAULT),
            observer(answers));
    for (int size : new int[] {31415, 9, 2653, 58979, 0}) {
      requests.onNext(random(size));
      assertArrayEquals(random(size), (byte[]) answers.poll(30, TimeUnit.SECONDS));
    }
    requests.onCompleted();
    assertEquals("done", answers.poll(30, TimeUnit.SECONDS));
  }

  @Test
  void emptyStream() throws Exception {
    BlockingQueue<Object> answers = new LinkedBlockingQueue<>();
    ClientCalls.asyncBidiStreamingCall(
            fixture.channel().newCall(EchoServer.BIDI_STREAMING, CallOptions.DEFAULT),
            observer(answers))
        .onCompleted();
    assertEquals("done", answers.poll(30, TimeUnit.SECONDS));
  }

  @Test
  void cancelAfterBegin() throws Exception {
    BlockingQueue<Object> answers = new LinkedBlockingQueue<>();
    ClientCall<byte[], byte[]> call =
        fixture.channel().newCall(EchoServer.CLIENT_STREAMING, CallOptions.DEFAULT);
    StreamObserver<byte[]> requests = ClientCalls.asyncClientStreamingCall(call, observer(answers));
    requests.onNext(random(10));
    Await.until("the server received the message", () -> echo.received.get() == 1);
    call.cancel("test", null);
    assertEquals(Status.Code.CANCELLED, answers.poll(30, TimeUnit.SECONDS));
    Await.until("the server sees the cancellation", () -> echo.cancelled.get() == 1);
  }

  @Test
  void cancelAfterFirstResponse() throws Exception {
    BlockingQueue<Object> answers = new LinkedBlockingQueue<>();
    ClientCall<byte[], byte[]> call =
        fixture.channel().newCall(EchoServer.BIDI_STREAMING, CallOptions.DEFAULT);
    StreamObserver<byte[]> requests = ClientCalls.asyncBidiStreamingCall(call, observer(answers));
    requests.onNext(random(31415));
    assertArrayEquals(random(31415), (byte[]) answers.poll(30, TimeUnit.SECONDS));
    call.cancel("test", null);
    assertEquals(Status.Code.CANCELLED, answers.poll(30, TimeUnit.SECONDS));
    Await.until("the server sees the cancellation", () -> echo.cancelled.get() == 1);
  }

  @Test
  void timeoutOnSleepingServer() throws Exception {
    for (MethodDescriptor<byte[], byte[]> method :
        List.of(EchoServer.SLEEP, EchoServer.BIDI_STREAMING)) {
      int before = echo.cancelled.get();
      BlockingQueue<Object> answers = new LinkedBlockingQueue<>();
      CallOptions options = CallOptions.DEFAULT.withDeadlineAfter(300, TimeUnit.MILLISECONDS);
      ClientCall<byte[], byte[]> call = fixture.channel().newCall(method, options);
      if (method == EchoServer.SLEEP) {
        ClientCalls.asyncUnaryCall(call, random(1), observer(answers));
      } else {
        ClientCalls.asyncBidiStreamingCall(call, observer(answers));
      }
      assertEquals(Status.Code.DEADLINE_EXCEEDED, answers.poll(30, TimeUnit.SECONDS));
      Await.until("the server sees the cancellation", () -> echo.cancelled.get() > before);
    }
  }

  @Test
  void statusCodeAndMessage() {
    for (Status.Code code : Status.Code.values()) {
      if (code == Status.Code.OK) {
        continue;
      }
      Status status =
          assertThrows(
                  StatusRuntimeException.class,
                  () -> unary(EchoServer.FAIL, new byte[] {(byte) code.value()}))
              .getStatus();
      assertEquals(code, status.getCode());
      assertEquals("test status message \u2713 \t%", status.getDescription());
    }
  }

  @Test
  void unimplementedMethod() {
    assertEquals(Status.Code.UNIMPLEMENTED, code(() -> unary(EchoServer.UNIMPLEMENTED, random(1))));
  }

  @Test
  void customMetadata() {
    Metadata sent = new Metadata();
    sent.put(EchoServer.ASCII, "test_initial_metadata_value");
    sent.put(EchoServer.BINARY, new byte[] {(byte) 0xab, 0, (byte) 0xab, 10, 13});
    for (MethodDescriptor<byte[], byte[]> method :
        List.of(EchoServer.UNARY, EchoServer.SERVER_STREAMING)) {
      AtomicReference<Metadata> headers = new AtomicReference<>();
      AtomicReference<Metadata> trailers = new AtomicReference<>();
      Channel channel =
          ClientInterceptors.intercept(
              fixture.channel(),
              MetadataUtils.newCaptureMetadataInterceptor(headers, trailers),
              MetadataUtils.newAttachHeadersInterceptor(sent));
      Iterator<byte[]> answers =
          ClientCalls.blockingServerStreamingCall(
              channel,
              method.toBuilder().setType(MethodDescriptor.MethodType.SERVER_STREAMING).build(),
              CallOptions.DEFAULT,
              new byte[] {1, 1});
      while (answers.hasNext()) {
        answers.next();
      }
      assertEquals("test_initial_metadata_value", headers.get().get(EchoServer.ASCII));
      assertArrayEquals(
          new byte[] {(byte) 0xab, 0, (byte) 0xab, 10, 13}, trailers.get().get(EchoServer.BINARY));
    }
  }

  /**
   * The forwarded timeout is shorter than the client's, and never longer than the deadline of the
   * class.
   */
  @Test
  void deadlineIsForwardedReduced() {
    AtomicReference<Metadata> headers = new AtomicReference<>();
    Channel channel =
        ClientInterceptors.intercept(
            fixture.channel(),
            MetadataUtils.newCaptureMetadataInterceptor(headers, new AtomicReference<>()));
    CallOptions shorter = CallOptions.DEFAULT.withDeadlineAfter(10, TimeUnit.SECONDS);
    ClientCalls.blockingUnaryCall(channel, EchoServer.UNARY, shorter, random(1));
    long nanos = GrpcTimeout.parse(headers.get().get(EchoServer.RECEIVED_TIMEOUT));
    assertTrue(
        nanos > 0 && nanos < 10_000_000_000L, "shorter than the deadline of the class: " + nanos);
    CallOptions longer = CallOptions.DEFAULT.withDeadlineAfter(1000, TimeUnit.SECONDS);
    ClientCalls.blockingUnaryCall(channel, EchoServer.UNARY, longer, random(1));
    nanos = GrpcTimeout.parse(headers.get().get(EchoServer.RECEIVED_TIMEOUT));
    assertTrue(nanos > 0 && nanos <= 20_000_000_000L, "the deadline of the class: " + nanos);
  }

  private static StreamObserver<byte[]> observer(BlockingQueue<Object> answers) {
    return new StreamObserver<>() {
      @Override
      public void onNext(byte[] value) {
        answers.add(value);
      }

      @Override
      public void onError(Throwable t) {
        answers.add(Status.fromThrowable(t).getCode());
      }

      @Override
      public void onCompleted() {
        answers.add("done");
      }
    };
  }
}
