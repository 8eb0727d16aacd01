package heathswitch.policy.maintenance;

import java.util.List;

/** One entry of the log. */
public sealed interface Command {
  /**
   * An instance begins: it sends nothing to any server before it has taken this entry.
   *
   * @param incarnation new with every start of its process and after every fence
   * @param before its incarnation as far as it knows, 0 for none: an entry that was held up on its
   *     way must not undo a later one
   * @param idle whether nothing that it sent can be in flight, as before its first request
   * @param stops whether it stops by itself when it cannot renew its lease
   * @param rules as its configuration states them
   * @param release what its program can take
   */
  record Join(
      String instance,
      long incarnation,
      long before,
      boolean idle,
      boolean stops,
      MaintenanceRules rules,
      FormatSupport release)
      implements Command {}

  /** An instance is there, and says what it sees; null for nothing new. */
  record Renew(String instance, long incarnation, CapacityReport report) implements Command {}

  /** An instance sends nothing new to a machine and has nothing there in flight. */
  record Free(String instance, long incarnation, long order, String machine) implements Command {}

  /** An instance has ended and will send nothing more. */
  record Leave(String instance, long incarnation) implements Command {}

  /**
   * A person has made sure that an instance does not run any more.
   *
   * @param forget whether it will not come back either: nobody looks for it any more
   */
  record Fence(String instance, boolean forget) implements Command {}

  /**
   * Somebody wants machines for work.
   *
   * @param key the same for one request that is sent twice
   * @param atOnce machines of this order that may be held at a time
   * @param forMillis how long each is wanted
   * @param after an order whose machines must have been done with, or 0
   * @param notBeforeMillis from now until the first may go
   * @param notAfterMillis from now until none may go any more, or 0 for no end
   */
  record Ask(
      String key,
      String who,
      String why,
      boolean urgent,
      int atOnce,
      long forMillis,
      long after,
      long notBeforeMillis,
      long notAfterMillis,
      List<Machine> machines)
      implements Command {
    public Ask {
      machines = List.copyOf(machines);
    }
  }

  /** The work on a machine, or on all that are out for an order, has ended; null for all. */
  record Done(long order, String machine) implements Command {}

  /** The work takes longer than was asked for. */
  record Extend(long order, long millis) implements Command {}

  /** What has not gone out will not; a machine that is being emptied is taken back. */
  record Cancel(long order) implements Command {}
}
