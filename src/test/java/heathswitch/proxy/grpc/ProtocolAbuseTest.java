package heathswitch.proxy.grpc;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.grpc.CallOptions;
import io.grpc.ManagedChannel;
import io.grpc.stub.ClientCalls;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http2.DefaultHttp2HeadersDecoder;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Sends abusive traffic that no library would send. The balancer must close the connection or
 * reject the call, and must still serve another connection.
 */
@Timeout(120)
class ProtocolAbuseTest {

  private EchoServer echo;
  private GrpcFixture fixture;
  private ManagedChannel otherChannel;

  @BeforeEach
  void start() throws Exception {
    echo = new EchoServer();
    fixture = new GrpcFixture().server(echo.port()).start();
    otherChannel = fixture.channel();
    assertServed();
  }

  @AfterEach
  void stop() throws Exception {
    assertServed();
    fixture.close();
    echo.close();
  }

  private void assertServed() {
    byte[] message = {1, 2};
    assertArrayEquals(
        message,
        ClientCalls.blockingUnaryCall(
            otherChannel, EchoServer.UNARY, CallOptions.DEFAULT, message));
  }

  @FunctionalInterface
  private interface Flood {
    void send(RawHttp2Client raw, int i) throws IOException;
  }

  /** Sends frames and asserts that the balancer closes the connection. */
  private void assertConnectionCloses(Flood flood, int maxFrames) throws IOException {
    try (RawHttp2Client raw = new RawHttp2Client(fixture.port())) {
      Thread sender =
          new Thread(
              () -> {
                try {
                  for (int i = 0; i < maxFrames; i++) {
                    flood.send(raw, i);
                  }
                  raw.out.flush();
                } catch (IOException e) {
                  // Closed by the balancer.
                }
              });
      sender.start();
      raw.readUntilClosed(); // Times out if the connection is not closed.
    }
  }

  @Test
  void rapidResetClosesConnection() throws IOException {
    assertConnectionCloses(
        (raw, i) -> {
          raw.sendFrame(
              RawHttp2Client.HEADERS,
              RawHttp2Client.END_HEADERS,
              2 * i + 1,
              RawHttp2Client.callHeaders("/timetable.Store/Sleep"));
          raw.sendFrame(RawHttp2Client.RST_STREAM, 0, 2 * i + 1, new byte[] {0, 0, 0, 8});
        },
        5000);
  }

  @Test
  void pingFloodClosesConnection() throws IOException {
    assertConnectionCloses(
        (raw, i) -> raw.sendFrame(RawHttp2Client.PING, 0, 0, new byte[8]), 20_000);
  }

  @Test
  void settingsFloodClosesConnection() throws IOException {
    assertConnectionCloses(
        (raw, i) -> raw.sendFrame(RawHttp2Client.SETTINGS, 0, 0, new byte[0]), 20_000);
  }

  @Test
  void emptyDataFramesCloseConnection() throws IOException {
    assertConnectionCloses(
        (raw, i) -> {
          if (i == 0) {
            raw.sendFrame(
                RawHttp2Client.HEADERS,
                RawHttp2Client.END_HEADERS,
                1,
                RawHttp2Client.callHeaders("/timetable.Store/Sleep"));
          }
          raw.sendFrame(RawHttp2Client.DATA, 0, 1, new byte[0]);
        },
        5000);
  }

  @Test
  void continuationFloodClosesConnection() throws IOException {
    assertConnectionCloses(
        (raw, i) -> {
          if (i == 0) {
            raw.sendFrame(
                RawHttp2Client.HEADERS, 0, 1, RawHttp2Client.callHeaders("/timetable.Store/Sleep"));
          }
          raw.sendFrame(RawHttp2Client.CONTINUATION, 0, 1, new byte[0]);
        },
        5000);
  }

  /**
   * A header block that is small on the wire and large when decoded: it refers to one long entry of
   * the dynamic table many times.
   */
  @Test
  void oversizedDecodedHeadersAreAnsweredWith431() throws Exception {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    bytes.write(RawHttp2Client.callHeaders("/timetable.Store/Sleep"));
    bytes.write(0x40); // Literal with incremental indexing and a new name.
    bytes.write(1);
    bytes.write('x');
    bytes.write(0x7f); // A length of 127 + 3000.
    bytes.write(0x80 | (3000 & 127));
    bytes.write(3000 >> 7);
    bytes.write(new byte[127 + 3000]);
    for (int i = 0; i < 10_000; i++) {
      bytes.write(0x80 | 62); // The first entry of the dynamic table.
    }
    byte[] block = bytes.toByteArray();
    try (RawHttp2Client raw = new RawHttp2Client(fixture.port())) {
      raw.sendFrame(
          RawHttp2Client.HEADERS, RawHttp2Client.END_HEADERS | RawHttp2Client.END_STREAM, 1, block);
      raw.out.flush();
      RawHttp2Client.Frame frame = raw.readFrame();
      while (!frame.endsStream()) {
        frame = raw.readFrame(); // Null, and thus a failure, if closed.
      }
      assertEquals(1, frame.stream());
      assertEquals(
          "431",
          new DefaultHttp2HeadersDecoder()
              .decodeHeaders(1, Unpooled.wrappedBuffer(frame.payload()))
              .status()
              .toString());
    }
    assertEquals(1, echo.calls.get(), "only the call on the other connection has run");
  }

  @Test
  void connectionWithoutHttp2IsClosed() throws IOException {
    try (Socket socket = new Socket("127.0.0.1", fixture.port())) {
      socket.setSoTimeout(30_000);
      socket.getOutputStream().write("GET / HTTP/1.1\r\nHost: x\r\n\r\n".getBytes());
      socket.getInputStream().readAllBytes(); // Times out if the connection is not closed.
    } catch (SocketException e) {
      assertTrue(e.getMessage().contains("reset"), e.getMessage());
    }
  }

  /** A five-byte prefix that declares 4 GiB is rejected before more data is received. */
  @Test
  void messageDeclaringHugeLengthIsRejected() throws Exception {
    try (RawHttp2Client raw = new RawHttp2Client(fixture.port())) {
      raw.sendFrame(
          RawHttp2Client.HEADERS,
          RawHttp2Client.END_HEADERS,
          1,
          RawHttp2Client.callHeaders("/timetable.Store/Sleep"));
      raw.sendFrame(
          RawHttp2Client.DATA,
          0,
          1,
          new byte[] {1, (byte) 0xff, (byte) 0xff, (byte) 0xff, (byte) 0xff, 0});
      raw.out.flush();
      InputStream in = raw.socket.getInputStream();
      while (true) {
        byte[] head = in.readNBytes(9);
        assertTrue(head.length == 9, "an answer is received");
        int length = (head[0] & 255) << 16 | (head[1] & 255) << 8 | head[2] & 255;
        in.readNBytes(length);
        if (head[3] == RawHttp2Client.HEADERS && (head[4] & RawHttp2Client.END_STREAM) != 0) {
          break;
        }
      }
    }
  }
}
