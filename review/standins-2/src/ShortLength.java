import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Some answers come with a Content-Length that does not fit: it is too short. */
final class ShortLength {
  private ShortLength() {}

  private static byte[] body(String id) {
    return ("timetable of " + id + " ").repeat(8).getBytes(StandardCharsets.UTF_8);
  }

  public static void main(String[] args) throws Exception {
    Path folder = Path.of(args[0]);
    boolean trouble = !"0".equals(args[1]);
    Kit.Record record = new Kit.Record(Path.of(args[2]));
    Discovery discovery = new Discovery(record);
    AtomicInteger spoilt = new AtomicInteger();
    AtomicInteger count = new AtomicInteger();
    Kit.Behaviour behaviour =
        (upstream, exchange) -> {
          Thread.sleep(20);
          String id = exchange.request.header("x-request-id");
          byte[] body = body(id);
          if (!trouble || count.incrementAndGet() % 20 != 0) {
            exchange.answer(200, "", body);
            return;
          }
          spoilt.incrementAndGet();
          record.add("spoilt answer to " + id + ": says " + body.length / 2 + " of " + body.length);
          exchange.send(
              "HTTP/1.1 200 X\r\nContent-Length: "
                  + body.length / 2
                  + "\r\n\r\n"
                  + new String(body, StandardCharsets.UTF_8));
        };
    List<Kit.Upstream> upstreams = new ArrayList<>();
    for (int i = 1; i <= 4; i++) {
      upstreams.add(new Kit.Upstream("s-" + i, record, behaviour));
    }
    discovery.putQuietly(upstreams);
    String settings =
        Kit.settings(
            Kit.requestClass("view", "read_like", "all", 2500, 5000),
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
    int right = 0;
    int wrong = 0;
    Kit.Client client = new Kit.Client(balancer.port);
    for (int i = 0; i < 200; i++) {
      String id = Kit.newId();
      record.add("sent " + id);
      Kit.Message answer =
          client.call(Kit.request("GET", id, "view", 2.5, "", 0), new byte[0], 4);
      record.add("answered " + id + " " + (answer == null ? "none" : answer.first));
      if (answer != null && answer.status() == 200) {
        if (java.util.Arrays.equals(answer.body, body(id))) {
          right++;
        } else {
          wrong++;
          record.add("WRONG: " + id + " is served " + answer.body.length + " bytes");
        }
      }
      Thread.sleep(20);
    }
    record.add("spoilt answers " + spoilt + ", served right " + right + ", served wrong " + wrong);
    System.exit(wrong > 0 ? 1 : right >= 100 ? 0 : 2);
  }
}
