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

/** Checks the faults that the proxy injects, by numbered datagrams. */
class DatagramProxyTest {
  private static final int DATAGRAM_COUNT = 200;
  private final NioEventLoopGroup loops = new NioEventLoopGroup(1);
  private DatagramSocket sender;
  private DatagramSocket receiver;
  private DatagramProxy proxy;

  @BeforeEach
  void start() throws Exception {
    sender = new DatagramSocket(0, InetAddress.getByName("127.0.0.1"));
    receiver = new DatagramSocket(0, InetAddress.getByName("127.0.0.1"));
    sender.setSoTimeout(400);
    receiver.setSoTimeout(400);
    proxy =
        new DatagramProxy(loops.next(), (InetSocketAddress) receiver.getLocalSocketAddress(), 5)
            .start();
  }

  @AfterEach
  void end() {
    proxy.close();
    sender.close();
    receiver.close();
    loops.shutdownGracefully();
  }

  private List<Integer> sendAndReceive() throws IOException {
    for (int i = 0; i < DATAGRAM_COUNT; i++) {
      sender.send(new DatagramPacket(new byte[] {(byte) i}, 1, proxy.address()));
    }
    List<Integer> numbers = new ArrayList<>();
    try {
      while (true) {
        numbers.add(receive(receiver).getData()[0] & 255);
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
  void allDatagramsArriveOnceAndInOrderWithoutImpairment() throws Exception {
    List<Integer> numbers = sendAndReceive();
    assertEquals(DATAGRAM_COUNT, numbers.size());
    assertEquals(numbers.stream().sorted().toList(), numbers);
  }

  @Test
  void datagramsAreLostDuplicatedAndReorderedWithImpairment() throws Exception {
    proxy.setImpairment(new DatagramProxy.Impairment(0.3, 0.3, 0, 20));
    List<Integer> numbers = sendAndReceive();
    int distinct = new HashSet<>(numbers).size();
    assertTrue(distinct > 100 && distinct < 180, "distinct datagrams of 200: " + distinct);
    assertTrue(numbers.size() > distinct + 15, "no duplicates: " + numbers.size());
    assertTrue(!numbers.stream().sorted().toList().equals(numbers), "no reordering");
  }

  @Test
  void answersReturnToTheSenderUnlessThatDirectionIsMuted() throws Exception {
    sender.send(new DatagramPacket(new byte[] {1}, 1, proxy.address()));
    DatagramPacket request = receive(receiver);
    receiver.send(new DatagramPacket(new byte[] {2}, 1, request.getSocketAddress()));
    assertEquals(2, receive(sender).getData()[0]);
    proxy.setMuted(false, true);
    receiver.send(new DatagramPacket(new byte[] {3}, 1, request.getSocketAddress()));
    assertThrows(SocketTimeoutException.class, () -> receive(sender));
    proxy.setMuted(true, false);
    sender.send(new DatagramPacket(new byte[] {4}, 1, proxy.address()));
    assertThrows(SocketTimeoutException.class, () -> receive(receiver));
  }
}
