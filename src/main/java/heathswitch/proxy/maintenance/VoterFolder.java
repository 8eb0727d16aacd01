package heathswitch.proxy.maintenance;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * The log folder of a voter. A voter must still have everything that it voted for: with an empty
 * folder in place of a lost one it could vote a second time, and an entry that a majority has
 * acknowledged could be lost. So a voter starts only with a folder that an operator has created.
 */
public final class VoterFolder {
  private static final String MARKER = "voter";

  private VoterFolder() {}

  private static boolean votes(MaintenanceConfig config) {
    return config.peers().stream()
        .anyMatch(peer -> peer.votes() && peer.name().equals(config.instance()));
  }

  /** Why the instance must not start with its folder as it is, or null. */
  static String startObstacle(MaintenanceConfig config) {
    return !votes(config) || Files.exists(config.folder().resolve(MARKER))
        ? null
        : config.folder()
            + " has no log. For a new installation, run work init once for each voter. If the log"
            + " was lost, this instance must not vote: let the other voters go on without it";
  }

  /**
   * Creates the folder of a voter; returns false if it exists already.
   *
   * @throws IOException if it cannot be written
   */
  public static boolean create(MaintenanceConfig config) throws IOException {
    Path folder = config.folder();
    if (Files.exists(folder.resolve(MARKER))) {
      return false;
    }
    Files.createDirectories(folder);
    Files.writeString(folder.resolve(MARKER), "This folder was made by work init; keep it.\n");
    return true;
  }
}
