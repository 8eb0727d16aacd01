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
 * Frames that no library would send: each sort has its end, and another connection is served on.
 */
@Timeout(120)
class ProtocolAbuseTest {

  private EchoServer echo;
  private GrpcFixture fixture;
  private ManagedChannel other;

  @BeforeEach
  void start() throws Exception {
    echo = new EchoServer();
    fixture = new GrpcFixture().server(echo.port()).start();
    other = fixture.channel();
    served();
  }

  @AfterEach
  void stop() throws Exception {
    served();
    fixture.close();
    echo.close();
  }

  private void served() {
    byte[] message = {1, 2};
    assertArrayEquals(
        message,
        ClientCalls.blockingUnaryCall(other, EchoServer.UNARY, CallOptions.DEFAULT, message));
  }

  @FunctionalInterface
  private interface Flood {
    void send(RawHttp2Client raw, int i) throws IOException;
  }

  /** Sends until the connection ends; a flood that never ends it is the fault. */
  private void ends(Flood flood, int most) throws IOException {
    try (RawHttp2Client raw = new RawHttp2Client(fixture.port())) {
      Thread sender =
          new Thread(
              () -> {
                try {
                  for (int i = 0; i < most; i++) {
                    flood.send(raw, i);
                  }
                  raw.out.flush();
                } catch (IOException e) {
                  // Ended by the balancer.
                }
              });
      sender.start();
      raw.goneAway(); // Fails by its time-out if the connection is not ended.
    }
  }

  @Test
  void rapidReset() throws IOException {
    ends(
        (raw, i) -> {
          raw.frame(
              RawHttp2Client.HEADERS,
              RawHttp2Client.END_HEADERS,
              2 * i + 1,
              RawHttp2Client.call("/timetable.Store/Sleep"));
          raw.frame(RawHttp2Client.RST, 0, 2 * i + 1, new byte[] {0, 0, 0, 8});
        },
        5000);
  }

  @Test
  void pingFlood() throws IOException {
    ends((raw, i) -> raw.frame(RawHttp2Client.PING, 0, 0, new byte[8]), 20_000);
  }

  @Test
  void settingsFlood() throws IOException {
    ends((raw, i) -> raw.frame(RawHttp2Client.SETTINGS, 0, 0, new byte[0]), 20_000);
  }

  @Test
  void emptyFrames() throws IOException {
    ends(
        (raw, i) -> {
          if (i == 0) {
            raw.frame(
                RawHttp2Client.HEADERS,
                RawHttp2Client.END_HEADERS,
                1,
                RawHttp2Client.call("/timetable.Store/Sleep"));
          }
          raw.frame(RawHttp2Client.DATA, 0, 1, new byte[0]);
        },
        5000);
  }

  @Test
  void continuationFlood() throws IOException {
    ends(
        (raw, i) -> {
          if (i == 0) {
            raw.frame(RawHttp2Client.HEADERS, 0, 1, RawHttp2Client.call("/timetable.Store/Sleep"));
          }
          raw.frame(RawHttp2Client.CONTINUATION, 0, 1, new byte[0]);
        },
        5000);
  }

  /** Small on the wire, large when decoded: one long header in the table, named again and again. */
  @Test
  void headerBomb() throws Exception {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    bytes.write(RawHttp2Client.call("/timetable.Store/Sleep"));
    bytes.write(0x40); // Literal with indexing, a new name.
    bytes.write(1);
    bytes.write('x');
    bytes.write(0x7f); // A length of 127 and 3000 more.
    bytes.write(0x80 | (3000 & 127));
    bytes.write(3000 >> 7);
    bytes.write(new byte[127 + 3000]);
    for (int i = 0; i < 10_000; i++) {
      bytes.write(0x80 | 62); // The first entry of the dynamic table.
    }
    byte[] block = bytes.toByteArray();
    try (RawHttp2Client raw = new RawHttp2Client(fixture.port())) {
      raw.frame(
          RawHttp2Client.HEADERS, RawHttp2Client.END_HEADERS | RawHttp2Client.END_STREAM, 1, block);
      raw.out.flush();
      RawHttp2Client.Frame frame = raw.read();
      while (!frame.last()) {
        frame = raw.read(); // Null, and so a failure, if the connection ends without an answer.
      }
      assertEquals(1, frame.stream());
      assertEquals(
          "431",
          new DefaultHttp2HeadersDecoder()
              .decodeHeaders(1, Unpooled.wrappedBuffer(frame.payload()))
              .status()
              .toString());
    }
    assertEquals(1, echo.calls.get(), "only the call of another connection has run");
  }

  @Test
  void noHttp2AtAll() throws IOException {
    try (Socket socket = new Socket("127.0.0.1", fixture.port())) {
      socket.setSoTimeout(30_000);
      socket.getOutputStream().write("GET / HTTP/1.1\r\nHost: x\r\n\r\n".getBytes());
      socket.getInputStream().readAllBytes(); // Fails by its time-out if it is not ended.
    } catch (SocketException e) {
      assertTrue(e.getMessage().contains("reset"), e.getMessage());
    }
  }

  /** Five bytes that claim four gigabytes are turned away before any more come. */
  @Test
  void aMessageThatClaimsAHugeLength() throws Exception {
    try (RawHttp2Client raw = new RawHttp2Client(fixture.port())) {
      raw.frame(
          RawHttp2Client.HEADERS,
          RawHttp2Client.END_HEADERS,
          1,
          RawHttp2Client.call("/timetable.Store/Sleep"));
      raw.frame(
          RawHttp2Client.DATA,
          0,
          1,
          new byte[] {1, (byte) 0xff, (byte) 0xff, (byte) 0xff, (byte) 0xff, 0});
      raw.out.flush();
      InputStream in = raw.socket.getInputStream();
      while (true) {
        byte[] head = in.readNBytes(9);
        assertTrue(head.length == 9, "an answer comes");
        int length = (head[0] & 255) << 16 | (head[1] & 255) << 8 | head[2] & 255;
        in.readNBytes(length);
        if (head[3] == RawHttp2Client.HEADERS && (head[4] & RawHttp2Client.END_STREAM) != 0) {
          break;
        }
      }
    }
  }
}
