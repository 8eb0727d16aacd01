package heathswitch.testbed.site;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** What the rig does to datagrams on their way, by the numbers that they carry. */
class DatagramLineTest {
  private static final int SENT = 200;
  private final NioEventLoopGroup loops = new NioEventLoopGroup(1);
  private DatagramSocket here;
  private DatagramSocket there;
  private DatagramLine line;

  @BeforeEach
  void start() throws Exception {
    here = new DatagramSocket(0, InetAddress.getByName("127.0.0.1"));
    there = new DatagramSocket(0, InetAddress.getByName("127.0.0.1"));
    here.setSoTimeout(400);
    there.setSoTimeout(400);
    line =
        new DatagramLine(loops.next(), (InetSocketAddress) there.getLocalSocketAddress(), 5)
            .start();
  }

  @AfterEach
  void end() {
    line.close();
    here.close();
    there.close();
    loops.shutdownGracefully();
  }

  private List<Integer> arriving() throws IOException {
    for (int i = 0; i < SENT; i++) {
      here.send(new DatagramPacket(new byte[] {(byte) i}, 1, line.address()));
    }
    List<Integer> numbers = new ArrayList<>();
    try {
      while (true) {
        numbers.add(receive(there).getData()[0] & 255);
      }
    } catch (SocketTimeoutException e) {
      return numbers;
    }
  }

  private static DatagramPacket receive(DatagramSocket socket) throws IOException {
    DatagramPacket packet = new DatagramPacket(new byte[8], 8);
    socket.receive(packet);
    return packet;
  }

  @Test
  void inFairWeatherAllComeOnceAndInOrder() throws Exception {
    List<Integer> numbers = arriving();
    assertEquals(SENT, numbers.size());
    assertEquals(numbers.stream().sorted().toList(), numbers);
  }

  @Test
  void someAreLostSomeComeTwiceAndSomeOvertake() throws Exception {
    line.weather(new DatagramLine.Weather(0.3, 0.3, 0, 20));
    List<Integer> numbers = arriving();
    int kept = new HashSet<>(numbers).size();
    assertTrue(kept > 100 && kept < 180, "of 200 came " + kept);
    assertTrue(numbers.size() > kept + 15, "none came twice: " + numbers.size());
    assertTrue(!numbers.stream().sorted().toList().equals(numbers), "none overtook");
  }

  @Test
  void whatIsAnsweredGoesBackUnlessThatWayIsMuted() throws Exception {
    here.send(new DatagramPacket(new byte[] {1}, 1, line.address()));
    DatagramPacket asked = receive(there);
    there.send(new DatagramPacket(new byte[] {2}, 1, asked.getSocketAddress()));
    assertEquals(2, receive(here).getData()[0]);
    line.mute(false, true);
    there.send(new DatagramPacket(new byte[] {3}, 1, asked.getSocketAddress()));
    assertThrows(SocketTimeoutException.class, () -> receive(here));
    line.mute(true, false);
    here.send(new DatagramPacket(new byte[] {4}, 1, line.address()));
    assertThrows(SocketTimeoutException.class, () -> receive(there));
  }
}
