import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A new configuration moves discovery. All balancers of the fleet call the new one, which works
 * through their calls in turn. An upstream begins to drain just then.
 */
final class Moved {
  static final int OTHERS = 200;

  /** The new discovery is slow: it needs this long for one call from every balancer. */
  static final double ALL_CALLS_SECONDS = 30;

  static final double GRACE = 2.0 + 0.05;
  static final double TOLD_AFTER_SIGHUP = 4.0;

  private Moved() {}

  public static void main(String[] args) throws Exception {
    Path folder = Path.of(args[0]);
    boolean trouble = !"0".equals(args[1]);
    Kit.Record record = new Kit.Record(Path.of(args[2]));
    Discovery old = new Discovery(record);
    Discovery next = new Discovery(record);
    List<Kit.Upstream> upstreams = new ArrayList<>();
    for (int i = 1; i <= 4; i++) {
      upstreams.add(new Kit.Upstream("s-" + i, record, Kit.serves(300)));
    }
    old.putQuietly(upstreams);
    next.putQuietly(upstreams);
    String settings =
        Kit.settings(
            Kit.requestClass("view", "read_like", "all", 2500, 5000)
                + ","
                + Kit.requestClass("publish", "non_idempotent", "all", 2500, 5000),
            ",\"may_duplicate\":true,\"most_tries\":4",
            "",
            true);
    Kit.Balancer balancer = new Kit.Balancer(folder, "n1", settings, 512, 192);
    balancer.configure(old.port(), old.whole());
    balancer.start();
    if (!balancer.awaitReady()) {
      record.add("the balancer did not become ready");
      System.exit(2);
    }
    double ready = Kit.now();
    while (old.toldAt < 0 && Kit.now() < ready + 12) {
      Thread.sleep(50);
    }
    if (old.toldAt < 0) {
      record.add("the balancer has not called discovery");
      System.exit(2);
    }
    AtomicInteger answers = new AtomicInteger();
    AtomicInteger failed = new AtomicInteger();
    for (int i = 0; i < 16; i++) {
      long pause = 60 + 5 * i;
      boolean unsafe = i % 2 == 0;
      Kit.run(
          "client " + i,
          () -> {
            Kit.Client client = new Kit.Client(balancer.port);
            while (true) {
              String id = Kit.newId();
              record.add("sent " + id);
              String head =
                  Kit.request(unsafe ? "POST" : "GET", id, unsafe ? "publish" : "view", 2.5, "", 0);
              Kit.Message answer = client.call(head, new byte[0], 4);
              record.add("answered " + id + " " + (answer == null ? "none" : answer.first));
              answers.incrementAndGet();
              if (unsafe && answer != null && answer.status() == 502) {
                failed.incrementAndGet();
              }
              Thread.sleep(pause);
            }
          });
    }
    double begin = Kit.now();
    Kit.sleepUntil(begin + 5);
    next.capacity = (OTHERS + 1) / ALL_CALLS_SECONDS;
    double moved = Kit.now();
    balancer.configure(next.port(), old.whole());
    record.add("SIGHUP");
    balancer.signal("HUP");
    for (int i = 0; trouble && i < OTHERS; i++) {
      next.otherBalancer("other-" + i);
    }
    Kit.close(old.server);
    Kit.sleepUntil(moved + 1.5);
    old.resetWatches();
    Kit.Upstream draining = upstreams.get(1);
    AtomicInteger late = new AtomicInteger();
    Kit.Behaviour before = draining.behaviour;
    draining.phase = "terminating";
    next.put(draining);
    draining.behaviour =
        (upstream, exchange) -> {
          double told = moved + TOLD_AFTER_SIGHUP;
          told = next.toldAt > 0 ? Math.min(told, next.toldAt) : told;
          double at = exchange.request.firstByteAt;
          if (at > told + GRACE) {
            late.incrementAndGet();
            record.add(
                String.format(
                    Locale.ROOT,
                    "LATE: sent to %s %.3f s after the drain counts as told",
                    upstream.id,
                    at - told));
          }
          before.handle(upstream, exchange);
        };
    // What s-2 had is done long ago; its process ends.
    Kit.sleepUntil(moved + TOLD_AFTER_SIGHUP + GRACE + 1.5);
    int failedBefore = failed.get();
    record.add("s-2 ends, its drain is over");
    draining.phase = "terminated";
    draining.die();
    next.put(draining);
    Kit.sleepUntil(moved + 12);
    record.add("publish requests that s-2 had begun and that are lost: " + (failed.get() - failedBefore));
    record.add(
        "discovery answered "
            + next.answeredOthers
            + " calls of other balancers and turned "
            + next.rejectedOthers
            + " away");
    record.add("requests answered " + answers + ", sent to the draining upstream too late " + late);
    boolean ran = balancer.process.isAlive() && answers.get() >= 100;
    System.exit(late.get() > 0 ? 1 : ran ? 0 : 2);
  }
}
