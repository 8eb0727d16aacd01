import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.atomic.AtomicInteger;

/** Lists are pushed. A balancer is killed and starts again while discovery is down. */
final class Restart {
  static final double GRACE = 2.0 + 0.05;

  private Restart() {}

  public static void main(String[] args) throws Exception {
    Path folder = Path.of(args[0]);
    boolean trouble = !"0".equals(args[1]);
    Kit.Record record = new Kit.Record(Path.of(args[2]));
    Discovery agent = new Discovery(record);
    List<Kit.Upstream> upstreams = new ArrayList<>();
    for (int i = 1; i <= 4; i++) {
      upstreams.add(new Kit.Upstream("s-" + i, record, Kit.serves(300)));
    }
    agent.putQuietly(upstreams);
    String settings =
        Kit.settings(
            Kit.requestClass("view", "read_like", "all", 2500, 5000)
                + ","
                + Kit.requestClass("publish", "non_idempotent", "all", 2500, 5000),
            ",\"may_duplicate\":true,\"most_tries\":4",
            "",
            false);
    Kit.Balancer balancer = new Kit.Balancer(folder, "n1", settings, 512, 192);
    String known = agent.whole();
    balancer.configure(agent.port(), known);
    balancer.start();
    if (!balancer.awaitReady()) {
      record.add("the balancer did not become ready");
      System.exit(2);
    }
    AtomicInteger served = new AtomicInteger();
    AtomicInteger failed = new AtomicInteger();
    for (int i = 0; i < 16; i++) {
      boolean unsafe = i % 2 == 0;
      Kit.run(
          "client " + i,
          () -> {
            Kit.Client client = new Kit.Client(balancer.port);
            while (true) {
              String id = Kit.newId();
              record.add("sent " + id);
              Kit.Message answer = null;
              try {
                String head =
                    Kit.request(
                        unsafe ? "POST" : "GET", id, unsafe ? "publish" : "view", 2.5, "", 0);
                answer = client.call(head, new byte[0], 4);
              } catch (java.io.IOException e) {
                Thread.sleep(100); // The balancer is away.
              }
              record.add("answered " + id + " " + (answer == null ? "none" : answer.first));
              if (unsafe && answer != null && answer.status() == 502) {
                failed.incrementAndGet();
              }
              if (answer != null && answer.status() == 200) {
                served.incrementAndGet();
              }
              Thread.sleep(60);
            }
          });
    }
    double begin = Kit.now();
    Kit.sleepUntil(begin + 3);
    Kit.Upstream draining = upstreams.get(1);
    draining.phase = "terminating";
    agent.put(draining);
    Kit.sleepUntil(begin + 7);
    agent.silent = trouble;
    record.add(trouble ? "discovery is down, its agent is silent" : "discovery is up");
    Kit.sleepUntil(begin + 8);
    record.add("the balancer is killed");
    balancer.process.destroyForcibly().waitFor();
    balancer.configure(agent.port(), known);
    balancer.start();
    if (!balancer.awaitReady()) {
      record.add("the balancer did not become ready again");
      System.exit(2);
    }
    double ready = Kit.now();
    record.add("the balancer is ready again");
    AtomicInteger late = new AtomicInteger();
    Kit.Behaviour before = draining.behaviour;
    draining.behaviour =
        (upstream, exchange) -> {
          double after = exchange.request.firstByteAt - ready;
          if (after > GRACE) {
            late.incrementAndGet();
            record.add(
                String.format(
                    Locale.ROOT,
                    "LATE: sent to %s, which drains, %.3f s after the new process was ready",
                    upstream.id,
                    after));
          }
          before.handle(upstream, exchange);
        };
    // What s-2 had is done long ago; its process ends.
    Kit.sleepUntil(ready + GRACE + 1.5);
    int failedBefore = failed.get();
    record.add("s-2 ends, its drain is over");
    draining.phase = "terminated";
    draining.die();
    Kit.sleepUntil(ready + GRACE + 4);
    record.add("publish requests that s-2 had begun and that are lost: " + (failed.get() - failedBefore));
    Kit.sleepUntil(begin + 15);
    agent.silent = false;
    record.add("discovery is up");
    Kit.sleepUntil(begin + 17);
    record.add("served " + served + ", sent to the draining upstream too late " + late);
    boolean ran = balancer.process.isAlive() && served.get() >= 100;
    System.exit(late.get() > 0 ? 1 : ran ? 0 : 2);
  }
}
