package heathswitch.policy.members;

import java.util.List;

/** What becomes of a candidate list. */
public sealed interface ListDecision {
  /** Taken whole; it is the current list from now on. */
  record Accepted(long version, ListDiff diff) implements ListDecision {}

  /** The candidate says what the current list says. */
  record Unchanged() implements ListDecision {}

  /** Not taken; the reasons are for those who write the list. */
  record Refused(List<String> reasons) implements ListDecision {
    public Refused {
      reasons = List.copyOf(reasons);
    }
  }

  /** Sound, but so far-reaching that a person must confirm it under this version. */
  record PendingConfirmation(long version, List<String> reasons, ListDiff diff)
      implements ListDecision {
    public PendingConfirmation {
      reasons = List.copyOf(reasons);
    }
  }
}
