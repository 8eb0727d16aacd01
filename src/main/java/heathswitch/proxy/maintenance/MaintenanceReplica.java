package heathswitch.proxy.maintenance;

import com.fasterxml.jackson.jr.ob.JSON;
import heathswitch.policy.maintenance.Command;
import heathswitch.policy.maintenance.CommandCodec;
import heathswitch.policy.maintenance.CommandResult;
import heathswitch.policy.maintenance.FormatSupport;
import heathswitch.policy.maintenance.MaintenanceState;
import heathswitch.proxy.consensus.Replica;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;

/**
 * What is settled, as this instance has taken it from the log; for any thread. An entry takes as
 * long as it takes: the event loop reads {@link #known}, which waits for nothing.
 */
final class MaintenanceReplica implements Replica {
  /**
   * What the event loop needs of it, as of one entry.
   *
   * @param index of that entry
   * @param away every machine that an order has a hand on
   * @param incarnation the latest process of this instance, 0 for none
   * @param speaks whether that process has joined and was not fenced since
   * @param leaves whether an order has this instance leave, or stay away
   * @param form of entries in force
   * @param nowMillis the log's time as of that entry, and {@code takenNanos} when it was taken here
   * @param dueMillis see {@link MaintenanceState#dueMillis}
   */
  record Known(
      long index,
      List<MaintenanceState.AwayMachine> away,
      long incarnation,
      boolean speaks,
      boolean leaves,
      long leaseMillis,
      int form,
      long nowMillis,
      long takenNanos,
      long dueMillis) {
    /** Whether by its clock that time has come at whoever leads. */
    boolean due(long nowNanos) {
      return nowMillis + (nowNanos - takenNanos) / 1_000_000 >= dueMillis;
    }
  }

  private record Waiting(long index, CompletableFuture<Void> taken) {}

  private final String instance;
  private final int knows;
  private final Runnable news;
  private final PriorityQueue<Waiting> waiting =
      new PriorityQueue<>(Comparator.comparingLong(Waiting::index));
  private MaintenanceState settled = new MaintenanceState();
  private long toldChanges = -1;
  private volatile Known known;

  /**
   * An empty one.
   *
   * @param knows the latest form of entries that this program takes. One that meets a later one
   *     stops rather than guess.
   * @param news told, on the log's thread, whenever what is {@link #known} of machines that orders
   *     have a hand on has changed; must return at once
   */
  MaintenanceReplica(String instance, int knows, Runnable news) {
    this.instance = instance;
    this.knows = knows;
    this.news = news;
    publish(List.of());
  }

  byte[] bytes(Command command) {
    Map<String, Object> tree = new LinkedHashMap<>();
    tree.put("format", known.form());
    tree.putAll(CommandCodec.encode(command));
    return json(tree);
  }

  private static byte[] json(Object tree) {
    try {
      return JSON.std.asBytes(tree);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static Map<String, Object> tree(byte[] json) {
    try {
      return JSON.std.mapFrom(json);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** What became of an entry, and its number in the log; 0 where an earlier release said it. */
  record Taken(CommandResult reply, long index) {}

  static Taken reply(byte[] json) {
    Map<String, Object> tree = tree(json);
    return new Taken(
        new CommandResult(
            (Boolean) tree.get("ok"),
            ((Number) tree.get("order")).longValue(),
            (String) tree.get("message")),
        tree.get("index") instanceof Number index ? index.longValue() : 0);
  }

  @Override
  public byte[] take(long index, long stampMillis, byte[] entry) {
    Map<String, Object> tree = tree(entry);
    if (!(tree.get("format") instanceof Number format)
        || format.intValue() < FormatSupport.FIRST
        || format.intValue() > knows) {
      throw new IllegalArgumentException(
          "entry " + index + " is of the form " + tree.get("format") + ", beyond " + knows);
    }
    Command command = CommandCodec.decodeCommand(tree);
    CommandResult reply;
    synchronized (this) {
      reply = settled.apply(index, stampMillis, command);
      tell();
    }
    Map<String, Object> answer = new LinkedHashMap<>();
    answer.put("ok", reply.ok());
    answer.put("order", reply.value());
    answer.put("message", reply.message());
    answer.put("index", index);
    return json(answer);
  }

  private void tell() {
    if (settled.changeCount() != toldChanges) {
      toldChanges = settled.changeCount();
      publish(settled.awayMachines());
      news.run();
    } else {
      publish(known.away());
    }
    while (!waiting.isEmpty() && waiting.peek().index() <= settled.appliedIndex()) {
      waiting.poll().taken().complete(null);
    }
  }

  private void publish(List<MaintenanceState.AwayMachine> away) {
    long incarnation = settled.incarnation(instance);
    known =
        new Known(
            settled.appliedIndex(),
            away,
            incarnation,
            settled.hasJoined(instance, incarnation),
            settled.mustLeave(instance),
            settled.rules().leaseMillis(),
            settled.formatVersion(),
            settled.nowMillis(),
            System.nanoTime(),
            settled.nextExpiryMillis());
  }

  /** What the event loop needs, as of the latest entry. */
  Known known() {
    return known;
  }

  /**
   * Completes when an entry has been taken here; from then on what is asked here knows of it. As
   * many may wait as entries may be submitted.
   */
  synchronized CompletableFuture<Void> taken(long index) {
    CompletableFuture<Void> taken = new CompletableFuture<>();
    if (index <= settled.appliedIndex()) {
      taken.complete(null);
    } else {
      waiting.removeIf(each -> each.taken().isDone()); // Those that nobody waits for any more.
      waiting.add(new Waiting(index, taken));
    }
    return taken;
  }

  @Override
  public synchronized byte[] save() {
    return json(settled.toSnapshot());
  }

  @Override
  public synchronized void load(byte[] saved) {
    settled = MaintenanceState.fromSnapshot(tree(saved));
    toldChanges = -1;
    tell();
  }

  /** Asks what is settled now. */
  synchronized <T> T ask(Function<MaintenanceState, T> question) {
    return question.apply(settled);
  }

  /** A digest of all that is settled: the same on instances that have taken the same entries. */
  synchronized String picture() {
    return new String(json(settled.toSnapshot()), StandardCharsets.UTF_8);
  }
}
