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
 * This instance's copy of the replicated {@link MaintenanceState}; thread-safe. Applying an entry
 * may take long, so the event loop reads {@link #view}, which never blocks.
 */
final class MaintenanceReplica implements Replica {
  /**
   * What the event loop needs of the state, as of one entry.
   *
   * @param index index of that entry
   * @param away all machines that are held by an order or returning
   * @param incarnation the latest incarnation of this instance, 0 for none
   * @param joined whether that incarnation has joined and has not been fenced since
   * @param mustLeave whether an order requires this instance to leave or to stay away
   * @param formatVersion the format version of entries that is in force
   * @param nowMillis the log's time as of that entry
   * @param appliedNanos when the entry was applied here, on the monotonic clock
   * @param expiryMillis see {@link MaintenanceState#nextExpiryMillis}
   */
  record View(
      long index,
      List<MaintenanceState.AwayMachine> away,
      long incarnation,
      boolean joined,
      boolean mustLeave,
      long leaseMillis,
      int formatVersion,
      long nowMillis,
      long appliedNanos,
      long expiryMillis) {
    /** Whether a leader's log clock has reached {@code expiryMillis}. */
    boolean expiryDue(long nowNanos) {
      return nowMillis + (nowNanos - appliedNanos) / 1_000_000 >= expiryMillis;
    }
  }

  /** A future that completes once the entry of an index has been applied. */
  private record Waiter(long index, CompletableFuture<Void> applied) {}

  private final String instance;
  private final int latestFormat;
  private final Runnable onChange;
  private final PriorityQueue<Waiter> waiters =
      new PriorityQueue<>(Comparator.comparingLong(Waiter::index));
  private MaintenanceState state = new MaintenanceState();
  private long publishedChanges = -1;
  private volatile View view;

  /**
   * Creates an empty state.
   *
   * @param latestFormat the latest format version that this program can read; on an entry of a
   *     later one the replica fails rather than guess
   * @param onChange called on the log's thread when the machines in {@link #view} have changed;
   *     must not block
   */
  MaintenanceReplica(String instance, int latestFormat, Runnable onChange) {
    this.instance = instance;
    this.latestFormat = latestFormat;
    this.onChange = onChange;
    publish(List.of());
  }

  /** Serializes a command as a log entry in the format version in force. */
  byte[] encode(Command command) {
    Map<String, Object> tree = new LinkedHashMap<>();
    tree.put("format", view.formatVersion());
    tree.putAll(CommandCodec.encode(command));
    return toJson(tree);
  }

  private static byte[] toJson(Object tree) {
    try {
      return JSON.std.asBytes(tree);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static Map<String, Object> parseJson(byte[] json) {
    try {
      return JSON.std.mapFrom(json);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /**
   * The result of an applied command.
   *
   * @param index index of its log entry; 0 if the result comes from an earlier release, which does
   *     not state it
   */
  record Applied(CommandResult result, long index) {}

  /** Parses what {@link #apply} has returned, maybe on another instance. */
  static Applied decodeResult(byte[] json) {
    Map<String, Object> tree = parseJson(json);
    return new Applied(
        new CommandResult(
            (Boolean) tree.get("ok"),
            ((Number) tree.get("order")).longValue(),
            (String) tree.get("message")),
        tree.get("index") instanceof Number index ? index.longValue() : 0);
  }

  @Override
  public byte[] apply(long index, long stampMillis, byte[] entry) {
    Map<String, Object> tree = parseJson(entry);
    if (!(tree.get("format") instanceof Number format)
        || format.intValue() < FormatSupport.FIRST
        || format.intValue() > latestFormat) {
      throw new IllegalArgumentException(
          "entry "
              + index
              + " has format version "
              + tree.get("format")
              + ", beyond "
              + latestFormat);
    }
    Command command = CommandCodec.decodeCommand(tree);
    CommandResult result;
    synchronized (this) {
      result = state.apply(index, stampMillis, command);
      publishChanges();
    }
    Map<String, Object> answer = new LinkedHashMap<>();
    answer.put("ok", result.ok());
    answer.put("order", result.value());
    answer.put("message", result.message());
    answer.put("index", index);
    return toJson(answer);
  }

  private void publishChanges() {
    if (state.changeCount() != publishedChanges) {
      publishedChanges = state.changeCount();
      publish(state.awayMachines());
      onChange.run();
    } else {
      publish(view.away());
    }
    while (!waiters.isEmpty() && waiters.peek().index() <= state.appliedIndex()) {
      waiters.poll().applied().complete(null);
    }
  }

  private void publish(List<MaintenanceState.AwayMachine> away) {
    long incarnation = state.incarnation(instance);
    view =
        new View(
            state.appliedIndex(),
            away,
            incarnation,
            state.hasJoined(instance, incarnation),
            state.mustLeave(instance),
            state.rules().leaseMillis(),
            state.formatVersion(),
            state.nowMillis(),
            System.nanoTime(),
            state.nextExpiryMillis());
  }

  /** The state as of the latest applied entry. */
  View view() {
    return view;
  }

  /**
   * Completes when an entry has been applied here, so that later queries see its effect. The number
   * of waiters is bounded by that of submitted entries.
   */
  synchronized CompletableFuture<Void> whenApplied(long index) {
    CompletableFuture<Void> applied = new CompletableFuture<>();
    if (index <= state.appliedIndex()) {
      applied.complete(null);
    } else {
      waiters.removeIf(each -> each.applied().isDone()); // Their callers have timed out.
      waiters.add(new Waiter(index, applied));
    }
    return applied;
  }

  @Override
  public synchronized byte[] toSnapshot() {
    return toJson(state.toSnapshot());
  }

  @Override
  public synchronized void restore(byte[] snapshot) {
    state = MaintenanceState.fromSnapshot(parseJson(snapshot));
    publishedChanges = -1;
    publishChanges();
  }

  /** Evaluates a query on the current state. */
  synchronized <T> T query(Function<MaintenanceState, T> query) {
    return query.apply(state);
  }

  /** The whole state as text; the same on instances that have applied the same entries. */
  synchronized String toText() {
    return new String(toJson(state.toSnapshot()), StandardCharsets.UTF_8);
  }
}
