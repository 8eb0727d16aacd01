package heathswitch.policy.maintenance;

import java.util.List;

/** A command of the replicated log; each log entry holds one. */
public sealed interface Command {
  /**
   * An instance joins under a new incarnation. It sends nothing to any server before it has applied
   * this entry.
   *
   * @param incarnation new with every start of the process and after every fence
   * @param previousIncarnation the instance's incarnation as far as it knows, 0 for none; a join
   *     that was delayed on its way must not undo a later one
   * @param idle whether nothing that the instance sent can be in flight, as before its first
   *     request
   * @param stopsWhenCutOff whether the instance stops sending by itself when it cannot renew its
   *     lease
   * @param rules as its configuration states them
   * @param formats what its program can read
   */
  record Join(
      String instance,
      long incarnation,
      long previousIncarnation,
      boolean idle,
      boolean stopsWhenCutOff,
      MaintenanceRules rules,
      FormatSupport formats)
      implements Command {}

  /**
   * An instance renews its lease.
   *
   * @param report the capacity that it sees; null if it has nothing new to report
   */
  record Renew(String instance, long incarnation, CapacityReport report) implements Command {}

  /** An instance sends no new attempts to a machine and has nothing in flight there. */
  record Free(String instance, long incarnation, long order, String machine) implements Command {}

  /** An instance has shut down or been taken out, and sends nothing more. */
  record Leave(String instance, long incarnation) implements Command {}

  /**
   * An operator confirms that an instance does not run any more.
   *
   * @param forget whether the instance is removed because it will not come back
   */
  record Fence(String instance, boolean forget) implements Command {}

  /**
   * Requests machines for maintenance; it becomes an order.
   *
   * @param key idempotency key, the same for a request that is sent twice
   * @param atOnce how many machines of this order may be held at the same time
   * @param durationMillis how long each machine is needed
   * @param afterOrder an order whose maintenance must have ended first, or 0
   * @param notBeforeMillis time from now before which no machine is granted
   * @param notAfterMillis time from now after which no machine is granted any more, or 0 for no
   *     limit
   */
  record Ask(
      String key,
      String requester,
      String reason,
      boolean urgent,
      int atOnce,
      long durationMillis,
      long afterOrder,
      long notBeforeMillis,
      long notAfterMillis,
      List<Machine> machines)
      implements Command {
    public Ask {
      machines = List.copyOf(machines);
    }
  }

  /**
   * Maintenance has ended.
   *
   * @param machine id of one machine, or null for all machines of the order that are out
   */
  record Done(long order, String machine) implements Command {}

  /** Maintenance takes longer than requested. */
  record Extend(long order, long millis) implements Command {}

  /**
   * Abandons the machines of an order that wait or are being emptied; those that are out stay out.
   */
  record Cancel(long order) implements Command {}
}
