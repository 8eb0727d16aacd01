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
 * A stand-in gRPC server on grpc-java: messages are bytes, and the calls are those of the published
 * interop cases as far as bytes can say them.
 */
final class EchoServer implements AutoCloseable {
  static final String SERVICE = "timetable.Store";
  static final Metadata.Key<String> ASCII =
      Metadata.Key.of("x-grpc-test-echo-initial", Metadata.ASCII_STRING_MARSHALLER);
  static final Metadata.Key<byte[]> BINARY =
      Metadata.Key.of("x-grpc-test-echo-trailing-bin", Metadata.BINARY_BYTE_MARSHALLER);
  static final Metadata.Key<String> TIMEOUT =
      Metadata.Key.of("x-saw-timeout", Metadata.ASCII_STRING_MARSHALLER);
  static final Metadata.Key<String> PREVIOUS =
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
  static final MethodDescriptor<byte[], byte[]> NONE =
      method("None", MethodDescriptor.MethodType.UNARY);
  static final MethodDescriptor<byte[], byte[]> DOWN =
      method("Down", MethodDescriptor.MethodType.SERVER_STREAMING);
  static final MethodDescriptor<byte[], byte[]> UP =
      method("Up", MethodDescriptor.MethodType.CLIENT_STREAMING);
  static final MethodDescriptor<byte[], byte[]> PING =
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
                    .addMethod(UNARY, counted(ServerCalls.asyncUnaryCall(this::echo)))
                    .addMethod(UNSAFE, counted(ServerCalls.asyncUnaryCall(this::echo)))
                    .addMethod(FAIL, counted(ServerCalls.asyncUnaryCall(this::fail)))
                    .addMethod(SLEEP, counted(ServerCalls.asyncUnaryCall((request, to) -> {})))
                    .addMethod(DOWN, counted(ServerCalls.asyncServerStreamingCall(this::down)))
                    .addMethod(UP, counted(ServerCalls.asyncClientStreamingCall(this::up)))
                    .addMethod(PING, counted(ServerCalls.asyncBidiStreamingCall(this::ping)))
                    .build())
            .build()
            .start();
  }

  int port() {
    return server.getPort();
  }

  /** Counts calls, cancels and runs, and echoes metadata as the interop cases have it. */
  private ServerCallHandler<byte[], byte[]> counted(ServerCallHandler<byte[], byte[]> handler) {
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
              if (headers.containsKey(PREVIOUS)) {
                head.put(ASCII, "previous " + headers.get(PREVIOUS));
              }
              Metadata.Key<String> timeout =
                  Metadata.Key.of("grpc-timeout", Metadata.ASCII_STRING_MARSHALLER);
              if (headers.containsKey(timeout)) {
                head.put(TIMEOUT, headers.get(timeout));
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

  private void echo(byte[] request, StreamObserver<byte[]> to) {
    if (request.length < 64) {
      runs.computeIfAbsent(new String(request), any -> new AtomicInteger()).incrementAndGet();
    }
    to.onNext(request);
    to.onCompleted();
  }

  /** Answers with the status whose code is the message's first byte. */
  private void fail(byte[] request, StreamObserver<byte[]> to) {
    to.onError(
        Status.fromCodeValue(request[0])
            .withDescription("test status message \u2713 \t%")
            .asRuntimeException());
  }

  /** As many messages as the first byte says, of the size that the next two say, in KiB. */
  private void down(byte[] request, StreamObserver<byte[]> to) {
    for (int i = 0; i < request[0]; i++) {
      to.onNext(new byte[request[1] << 10]);
    }
    to.onCompleted();
  }

  /** How many bytes came. */
  private StreamObserver<byte[]> up(StreamObserver<byte[]> to) {
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
        to.onNext(Integer.toString(sum).getBytes());
        to.onCompleted();
      }
    };
  }

  /** Takes the next message only when the last one has gone out. */
  private StreamObserver<byte[]> ping(StreamObserver<byte[]> to) {
    ServerCallStreamObserver<byte[]> out = (ServerCallStreamObserver<byte[]>) to;
    boolean[] waiting = {false};
    out.disableAutoRequest();
    out.request(1);
    out.setOnReadyHandler(
        () -> {
          if (waiting[0]) {
            waiting[0] = false;
            out.request(1);
          }
        });
    return new StreamObserver<>() {
      @Override
      public void onNext(byte[] value) {
        to.onNext(value);
        waiting[0] = !out.isReady();
        if (!waiting[0]) {
          out.request(1);
        }
      }

      @Override
      public void onError(Throwable t) {}

      @Override
      public void onCompleted() {
        to.onCompleted();
      }
    };
  }

  @Override
  public void close() throws InterruptedException {
    server.shutdownNow().awaitTermination(10, TimeUnit.SECONDS);
  }
}
