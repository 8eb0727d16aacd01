package heathswitch.policy.members;

import java.util.List;

/** The outcome of submitting a candidate list. */
public sealed interface ListDecision {
  /** The candidate has replaced the current list as a whole. */
  record Accepted(long version, ListDiff diff) implements ListDecision {}

  /** The candidate equals the current list. */
  record Unchanged() implements ListDecision {}

  /** The candidate is not used; the reasons are meant for the authors of the list. */
  record Refused(List<String> reasons) implements ListDecision {
    public Refused {
      reasons = List.copyOf(reasons);
    }
  }

  /**
   * The candidate is valid, but changes so much that an operator must confirm it under this version
   * before it is used.
   */
  record PendingConfirmation(long version, List<String> reasons, ListDiff diff)
      implements ListDecision {
    public PendingConfirmation {
      reasons = List.copyOf(reasons);
    }
  }
}
