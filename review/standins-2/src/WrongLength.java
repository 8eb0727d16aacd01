import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Bad clients send requests with a Content-Length that is wrong: shorter than the body. */
final class WrongLength {
  static final String BODY = "{\"school\":\"wat-pho-kham\",\"timetable\":\"monday 8:00 room 4\"}";

  private WrongLength() {}

  public static void main(String[] args) throws Exception {
    Path folder = Path.of(args[0]);
    boolean trouble = !"0".equals(args[1]);
    Kit.Record record = new Kit.Record(Path.of(args[2]));
    Discovery discovery = new Discovery(record);
    AtomicInteger cut = new AtomicInteger();
    Kit.Behaviour behaviour =
        (upstream, exchange) -> {
          Thread.sleep(20);
          String id = exchange.request.header("x-request-id");
          int bytes = exchange.request.body.length;
          if (bytes != BODY.length()) {
            cut.incrementAndGet();
            record.add("ran with " + bytes + " of " + BODY.length() + " bytes: " + id);
          }
          exchange.answer(200, "", ("published " + id).getBytes());
        };
    List<Kit.Upstream> upstreams = new ArrayList<>();
    for (int i = 1; i <= 4; i++) {
      upstreams.add(new Kit.Upstream("s-" + i, record, behaviour));
    }
    discovery.putQuietly(upstreams);
    String settings =
        Kit.settings(
            Kit.requestClass("publish", "non_idempotent", "all", 2500, 5000),
            ",\"may_duplicate\":true,\"most_tries\":4",
            "",
            true);
    Kit.Balancer balancer = new Kit.Balancer(folder, "n1", settings, 256, 192);
    balancer.configure(discovery.port(), discovery.whole());
    balancer.start();
    if (!balancer.awaitReady()) {
      record.add("the balancer did not become ready");
      System.exit(2);
    }
    int usual = 0;
    int served = 0;
    int turnedAway = 0;
    Kit.Client client = new Kit.Client(balancer.port);
    for (int i = 0; i < 100; i++) {
      String id = Kit.newId();
      record.add("sent " + id);
      Kit.Message answer =
          client.call(
              Kit.request("POST", id, "publish", 2.5, "", BODY.length()), BODY.getBytes(), 4);
      record.add("answered " + id + " " + (answer == null ? "none" : answer.first));
      usual += answer != null && answer.status() == 200 ? 1 : 0;
      if (trouble && i % 5 == 0) {
        int status = bad(balancer.port, record);
        served += status == 200 ? 1 : 0;
        turnedAway += status != 200 ? 1 : 0;
      }
      Thread.sleep(30);
    }
    record.add(
        "usual requests served "
            + usual
            + "; bad requests served "
            + served
            + ", turned away "
            + turnedAway
            + ", run with a cut body "
            + cut);
    System.exit(served > 0 ? 1 : usual >= 90 ? 0 : 2);
  }

  /** Returns the status of the answer, or 0 if the connection was closed. */
  private static int bad(int port, Kit.Record record) {
    String id = Kit.newId();
    record.add("bad client sends " + id + ": says " + BODY.length() / 2 + " of " + BODY.length());
    try (Socket socket = new Socket("127.0.0.1", port)) {
      socket.setSoTimeout(4000);
      socket
          .getOutputStream()
          .write((Kit.request("POST", id, "publish", 2.5, "", BODY.length() / 2) + BODY).getBytes());
      Kit.Message answer = Kit.read(new BufferedInputStream(socket.getInputStream()), false);
      record.add("bad client " + id + " is answered " + answer.first);
      return answer.status();
    } catch (IOException e) {
      record.add("bad client " + id + " is closed");
      return 0;
    }
  }
}
