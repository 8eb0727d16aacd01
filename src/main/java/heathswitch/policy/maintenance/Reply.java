package heathswitch.policy.maintenance;

/**
 * What became of a command.
 *
 * @param order that it made or spoke of, or 0; of a join that came too late the incarnation
 * @param message why not, or what else a person should know; may be empty
 */
public record Reply(boolean ok, long order, String message) {
  static Reply ok(long order) {
    return new Reply(true, order, "");
  }

  static Reply no(String message) {
    return new Reply(false, 0, message);
  }
}
