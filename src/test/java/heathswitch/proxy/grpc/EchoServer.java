package heathswitch.proxy.grpc;

import io.grpc.ForwardingServerCall;
import io.grpc.ForwardingServerCallListener;
import io.grpc.Metadata;
import io.grpc.MethodDescriptor;
import io.grpc.Server;
import io.grpc.ServerCall;
import io.grpc.ServerCallHandler;
import io.grpc.ServerServiceDefinition;
import io.grpc.Status;
import io.grpc.netty.shaded.io.grpc.netty.NettyServerBuilder;
import io.grpc.stub.ServerCallStreamObserver;
import io.grpc.stub.ServerCalls;
import io.grpc.stub.StreamObserver;
import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A gRPC test server on grpc-java. Its methods follow the published gRPC interop cases, as far as
 * that is possible with byte arrays as messages.
 */
final class EchoServer implements AutoCloseable {
  static final String SERVICE = "timetable.Store";
  static final Metadata.Key<String> ASCII =
      Metadata.Key.of("x-grpc-test-echo-initial", Metadata.ASCII_STRING_MARSHALLER);
  static final Metadata.Key<byte[]> BINARY =
      Metadata.Key.of("x-grpc-test-echo-trailing-bin", Metadata.BINARY_BYTE_MARSHALLER);
  static final Metadata.Key<String> RECEIVED_TIMEOUT =
      Metadata.Key.of("x-saw-timeout", Metadata.ASCII_STRING_MARSHALLER);
  static final Metadata.Key<String> PREVIOUS_ATTEMPTS =
      Metadata.Key.of("grpc-previous-rpc-attempts", Metadata.ASCII_STRING_MARSHALLER);

  private static final MethodDescriptor.Marshaller<byte[]> BYTES =
      new MethodDescriptor.Marshaller<>() {
        @Override
        public InputStream stream(byte[] value) {
          return new ByteArrayInputStream(value);
        }

        @Override
        public byte[] parse(InputStream stream) {
          try {
            return stream.readAllBytes();
          } catch (IOException e) {
            throw new UncheckedIOException(e);
          }
        }
      };

  static final MethodDescriptor<byte[], byte[]> UNARY =
      method("Unary", MethodDescriptor.MethodType.UNARY);
  static final MethodDescriptor<byte[], byte[]> UNSAFE =
      method("Publish", MethodDescriptor.MethodType.UNARY);
  static final MethodDescriptor<byte[], byte[]> FAIL =
      method("Fail", MethodDescriptor.MethodType.UNARY);
  static final MethodDescriptor<byte[], byte[]> SLEEP =
      method("Sleep", MethodDescriptor.MethodType.UNARY);
  static final MethodDescriptor<byte[], byte[]> UNIMPLEMENTED =
      method("None", MethodDescriptor.MethodType.UNARY);
  static final MethodDescriptor<byte[], byte[]> SERVER_STREAMING =
      method("Down", MethodDescriptor.MethodType.SERVER_STREAMING);
  static final MethodDescriptor<byte[], byte[]> CLIENT_STREAMING =
      method("Up", MethodDescriptor.MethodType.CLIENT_STREAMING);
  static final MethodDescriptor<byte[], byte[]> BIDI_STREAMING =
      method("Ping", MethodDescriptor.MethodType.BIDI_STREAMING);

  private static MethodDescriptor<byte[], byte[]> method(
      String name, MethodDescriptor.MethodType type) {
    return MethodDescriptor.<byte[], byte[]>newBuilder(BYTES, BYTES)
        .setType(type)
        .setFullMethodName(SERVICE + '/' + name)
        .build();
  }

  final AtomicInteger calls = new AtomicInteger();
  final AtomicInteger cancelled = new AtomicInteger();
  final AtomicInteger received = new AtomicInteger();
  final ConcurrentHashMap<String, AtomicInteger> runs = new ConcurrentHashMap<>();
  volatile boolean failing;
  private final Server server;

  EchoServer() throws IOException {
    server =
        NettyServerBuilder.forAddress(new InetSocketAddress("127.0.0.1", 0))
            .maxInboundMessageSize(8 << 20)
            .addService(
                ServerServiceDefinition.builder(SERVICE)
                    .addMethod(UNARY, counting(ServerCalls.asyncUnaryCall(this::echo)))
                    .addMethod(UNSAFE, counting(ServerCalls.asyncUnaryCall(this::echo)))
                    .addMethod(FAIL, counting(ServerCalls.asyncUnaryCall(this::fail)))
                    .addMethod(
                        SLEEP, counting(ServerCalls.asyncUnaryCall((request, responses) -> {})))
                    .addMethod(
                        SERVER_STREAMING,
                        counting(ServerCalls.asyncServerStreamingCall(this::streamMessages)))
                    .addMethod(
                        CLIENT_STREAMING,
                        counting(ServerCalls.asyncClientStreamingCall(this::countBytes)))
                    .addMethod(
                        BIDI_STREAMING,
                        counting(ServerCalls.asyncBidiStreamingCall(this::echoStream)))
                    .build())
            .build()
            .start();
  }

  int port() {
    return server.getPort();
  }

  /** Counts calls, messages and cancellations, and echoes metadata as in the interop cases. */
  private ServerCallHandler<byte[], byte[]> counting(ServerCallHandler<byte[], byte[]> handler) {
    return (call, headers) -> {
      calls.incrementAndGet();
      if (failing) {
        call.close(Status.UNAVAILABLE.withDescription("failing"), new Metadata());
        return new ServerCall.Listener<>() {};
      }
      ServerCall<byte[], byte[]> echoing =
          new ForwardingServerCall.SimpleForwardingServerCall<>(call) {
            @Override
            public void sendHeaders(Metadata head) {
              if (headers.containsKey(ASCII)) {
                head.put(ASCII, headers.get(ASCII));
              }
              if (headers.containsKey(PREVIOUS_ATTEMPTS)) {
                head.put(ASCII, "previous " + headers.get(PREVIOUS_ATTEMPTS));
              }
              Metadata.Key<String> timeout =
                  Metadata.Key.of("grpc-timeout", Metadata.ASCII_STRING_MARSHALLER);
              if (headers.containsKey(timeout)) {
                head.put(RECEIVED_TIMEOUT, headers.get(timeout));
              }
              super.sendHeaders(head);
            }

            @Override
            public void close(Status status, Metadata trailers) {
              if (headers.containsKey(BINARY)) {
                trailers.put(BINARY, headers.get(BINARY));
              }
              super.close(status, trailers);
            }
          };
      ServerCall.Listener<byte[]> inner = handler.startCall(echoing, headers);
      return new ForwardingServerCallListener.SimpleForwardingServerCallListener<>(inner) {
        @Override
        public void onMessage(byte[] message) {
          received.incrementAndGet();
          super.onMessage(message);
        }

        @Override
        public void onCancel() {
          cancelled.incrementAndGet();
          super.onCancel();
        }
      };
    };
  }

  private void echo(byte[] request, StreamObserver<byte[]> responses) {
    if (request.length < 64) {
      runs.computeIfAbsent(new String(request), any -> new AtomicInteger()).incrementAndGet();
    }
    responses.onNext(request);
    responses.onCompleted();
  }

  /** Answers with the status whose code is the first byte of the message. */
  private void fail(byte[] request, StreamObserver<byte[]> responses) {
    responses.onError(
        Status.fromCodeValue(request[0])
            .withDescription("test status message \u2713 \t%")
            .asRuntimeException());
  }

  /** Sends the number of messages in the first byte, each of the size in the second one, in KiB. */
  private void streamMessages(byte[] request, StreamObserver<byte[]> responses) {
    for (int i = 0; i < request[0]; i++) {
      responses.onNext(new byte[request[1] << 10]);
    }
    responses.onCompleted();
  }

  /** Answers with the number of bytes received. */
  private StreamObserver<byte[]> countBytes(StreamObserver<byte[]> responses) {
    return new StreamObserver<>() {
      private int sum;

      @Override
      public void onNext(byte[] value) {
        sum += value.length;
      }

      @Override
      public void onError(Throwable t) {}

      @Override
      public void onCompleted() {
        responses.onNext(Integer.toString(sum).getBytes());
        responses.onCompleted();
      }
    };
  }

  /** Echoes each message, and requests the next one only while the transport is ready to send. */
  private StreamObserver<byte[]> echoStream(StreamObserver<byte[]> responses) {
    ServerCallStreamObserver<byte[]> out = (ServerCallStreamObserver<byte[]>) responses;
    boolean[] waitingForReady = {false};
    out.disableAutoRequest();
    out.request(1);
    out.setOnReadyHandler(
        () -> {
          if (waitingForReady[0]) {
            waitingForReady[0] = false;
            out.request(1);
          }
        });
    return new StreamObserver<>() {
      @Override
      public void onNext(byte[] value) {
        responses.onNext(value);
        waitingForReady[0] = !out.isReady();
        if (!waitingForReady[0]) {
          out.request(1);
        }
      }

      @Override
      public void onError(Throwable t) {}

      @Override
      public void onCompleted() {
        responses.onCompleted();
      }
    };
  }

  @Override
  public void close() throws InterruptedException {
    server.shutdownNow().awaitTermination(10, TimeUnit.SECONDS);
  }
}
