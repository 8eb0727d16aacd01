package heathswitch.policy.maintenance;

/**
 * The result of applying a command.
 *
 * @param ok whether the command was accepted
 * @param value the order that the command created or referred to, or 0; for a renewal the log index
 *     of its entry; for a superseded join the incarnation that has joined instead
 * @param message why the command was rejected, or what else an operator should know; may be empty
 */
public record CommandResult(boolean ok, long value, String message) {
  static CommandResult accepted(long value) {
    return new CommandResult(true, value, "");
  }

  static CommandResult rejected(String message) {
    return new CommandResult(false, 0, message);
  }
}
