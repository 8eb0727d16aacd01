package heathswitch.proxy.maintenance;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * The folder of the log. One that votes must have what it voted for: with an empty folder in place
 * of a lost one it could vote a second time, and an entry that a majority has could be lost. So a
 * voter starts only with a folder that a person has made for it.
 */
public final class VoterFolder {
  private static final String MADE = "voter";

  private VoterFolder() {}

  private static boolean votes(MaintenanceConfig table) {
    return table.peers().stream()
        .anyMatch(peer -> peer.votes() && peer.name().equals(table.instance()));
  }

  /** Why the instance must not start with its folder as it is, or null. */
  static String startObstacle(MaintenanceConfig table) {
    return !votes(table) || Files.exists(table.folder().resolve(MADE))
        ? null
        : table.folder()
            + " has no log. For a new installation: work init, once for each that votes. If the"
            + " log was lost this instance must not vote: let the other voters go on without it";
  }

  /**
   * Makes the folder of one that votes; false if there is one already.
   *
   * @throws IOException if it cannot be written
   */
  public static boolean create(MaintenanceConfig table) throws IOException {
    Path folder = table.folder();
    if (Files.exists(folder.resolve(MADE))) {
      return false;
    }
    Files.createDirectories(folder);
    Files.writeString(folder.resolve(MADE), "This folder was made by work init; keep it.\n");
    return true;
  }
}
