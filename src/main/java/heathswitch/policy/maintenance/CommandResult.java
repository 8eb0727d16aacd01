package heathswitch.policy.maintenance;

/**
 * What became of a command.
 *
 * @param value that it made or spoke of, or 0; of a join that came too late the incarnation
 * @param message why not, or what else a person should know; may be empty
 */
public record CommandResult(boolean ok, long value, String message) {
  static CommandResult ok(long order) {
    return new CommandResult(true, order, "");
  }

  static CommandResult no(String message) {
    return new CommandResult(false, 0, message);
  }
}
