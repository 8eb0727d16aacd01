package heathswitch.proxy.members;

import java.util.List;

/**
 * A snapshot of the state of the server list, created anew after each change.
 *
 * @param version version of the current list
 * @param acceptedMillis Unix time at which it was accepted
 * @param applied whether the event loop has applied all of it
 * @param source the files, or the state file if these could not be used at startup
 * @param servers number of servers in the list
 * @param inService number of servers in service
 * @param draining number of servers that have left the list and are draining
 * @param acceptedTotal candidates accepted since startup
 * @param refusedTotal candidates refused since startup
 * @param pending the list that is held back, or null
 * @param refusals the latest refusals, newest first
 * @param stateError the current problem with the state file, or null
 */
public record MembersStatus(
    long version,
    long acceptedMillis,
    boolean applied,
    List<String> source,
    String digest,
    int servers,
    int inService,
    int draining,
    long acceptedTotal,
    long refusedTotal,
    PendingList pending,
    List<Refusal> refusals,
    String stateError) {

  /** Returns this status with {@code applied} false, for while the event loop applies the list. */
  MembersStatus unapplied() {
    return new MembersStatus(
        version,
        acceptedMillis,
        false,
        source,
        digest,
        servers,
        inService,
        draining,
        acceptedTotal,
        refusedTotal,
        pending,
        refusals,
        stateError);
  }

  /** A list that is held back until an operator confirms it. */
  public record PendingList(
      long version, long sinceMillis, List<String> reasons, int added, int removed, int changed) {}

  /** A refused candidate. */
  public record Refusal(long atMillis, List<String> reasons) {}
}
