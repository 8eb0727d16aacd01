package heathswitch.proxy.members;

import java.util.List;

/**
 * What the members subsystem can say of itself, made anew after each change.
 *
 * @param version number of the list that is current
 * @param acceptedMillis Unix time at which it was accepted
 * @param applied whether the event loop has heard all of it
 * @param source the files, or the state file where these could not be used at the start
 * @param refusedTotal candidates refused since the start
 * @param stateTrouble why the last write of the state failed, or null
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
    String stateTrouble) {

  /** The same while the event loop is still being told. */
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
        stateTrouble);
  }

  /** A list that waits for a person. */
  public record PendingList(
      long version, long sinceMillis, List<String> reasons, int added, int removed, int changed) {}

  /** One candidate that was not taken. */
  public record Refusal(long atMillis, List<String> reasons) {}
}
