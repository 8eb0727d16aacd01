import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** All watches are reset once; discovery has too many callers while an upstream begins to drain. */
final class Crowd {
  static final double GRACE = 2.0 + 0.05;
  static final double TOLD_AT_THE_LATEST = 6.0;

  private Crowd() {}

  public static void main(String[] args) throws Exception {
    Path folder = Path.of(args[0]);
    boolean trouble = !"0".equals(args[1]);
    Kit.Record record = new Kit.Record(Path.of(args[2]));
    Discovery discovery = new Discovery(record);
    List<Kit.Upstream> upstreams = new ArrayList<>();
    for (int i = 1; i <= 4; i++) {
      upstreams.add(new Kit.Upstream("s-" + i, record, Kit.serves(40)));
    }
    discovery.putQuietly(upstreams);
    String settings =
        Kit.settings(
            Kit.requestClass("view", "read_like", "all", 2500, 5000)
                + ","
                + Kit.requestClass("publish", "non_idempotent", "all", 2500, 5000),
            ",\"may_duplicate\":true,\"most_tries\":4",
            "",
            true);
    Kit.Balancer balancer = new Kit.Balancer(folder, "n1", settings, 512, 192);
    balancer.configure(discovery.port(), discovery.whole());
    balancer.start();
    if (!balancer.awaitReady()) {
      record.add("the balancer did not become ready");
      System.exit(2);
    }
    double ready = Kit.now();
    while (discovery.toldAt < 0 && Kit.now() < ready + 12) {
      Thread.sleep(50);
    }
    if (discovery.toldAt < 0) {
      record.add("the balancer has not called discovery");
      System.exit(2);
    }
    AtomicInteger answers = new AtomicInteger();
    for (int i = 0; i < 6; i++) {
      int number = i;
      Kit.run(
          "client " + i,
          () -> {
            Kit.Client client = new Kit.Client(balancer.port);
            while (true) {
              String id = Kit.newId();
              boolean unsafe = number == 0;
              String head =
                  Kit.request(unsafe ? "POST" : "GET", id, unsafe ? "publish" : "view", 2.5, "", 0);
              record.add("sent " + id);
              Kit.Message answer = client.call(head, new byte[0], 4);
              record.add(
                  "answered " + id + " " + (answer == null ? "none" : answer.first));
              answers.incrementAndGet();
              Thread.sleep(60 + 10 * number);
            }
          });
    }
    Kit.Upstream draining = upstreams.get(1);
    double begin = Kit.now();
    Kit.sleepUntil(begin + 5);
    if (trouble) {
      discovery.capacity = 2.8;
      discovery.resetWatches();
      for (int i = 0; i < 200; i++) {
        discovery.otherBalancer("other-" + i);
      }
    }
    Kit.sleepUntil(begin + 8);
    double had = Kit.now();
    draining.phase = "terminating";
    discovery.put(draining);
    double toldLatest = had + TOLD_AT_THE_LATEST;
    AtomicInteger late = new AtomicInteger();
    Kit.Behaviour before = draining.behaviour;
    draining.behaviour =
        (upstream, exchange) -> {
          double told = discovery.toldAt > had - 0.001 ? discovery.toldAt : toldLatest;
          told = Math.min(told, toldLatest);
          double at = exchange.request.firstByteAt;
          if (at > told + GRACE) {
            late.incrementAndGet();
            record.add(
                String.format(
                    java.util.Locale.ROOT,
                    "LATE: sent to %s %.3f s after it counts as told",
                    upstream.id,
                    at - told));
          }
          before.handle(upstream, exchange);
        };
    Kit.sleepUntil(had + 16);
    record.add(
        "discovery answered "
            + discovery.answeredOthers
            + " calls of other balancers and turned "
            + discovery.rejectedOthers
            + " away");
    record.add("requests answered " + answers + ", sent to the draining upstream too late " + late);
    boolean alive = balancer.process.isAlive();
    System.exit(!alive || answers.get() < 100 ? 2 : late.get() > 0 ? 1 : 0);
  }
}
