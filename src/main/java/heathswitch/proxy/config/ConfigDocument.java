package heathswitch.proxy.config;

import heathswitch.proxy.files.BoundedFile;
import heathswitch.proxy.files.UnusableFileException;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.tomlj.Toml;
import org.tomlj.TomlParseError;
import org.tomlj.TomlParseResult;
import org.tomlj.TomlPosition;

/**
 * A parsed TOML configuration file and its validation errors. Each subsystem reads and validates
 * its own table through {@link #root}.
 */
public final class ConfigDocument {
  private static final int MAX_BYTES = 1 << 20;

  private final Path path;
  private final List<ValidationError> errors = new ArrayList<>();
  private ConfigSection root;
  private boolean unreadable;

  private ConfigDocument(Path path) {
    this.path = path;
  }

  /** Reads and parses the file. If that fails, the root is null and the errors give the reason. */
  public static ConfigDocument read(Path path) {
    ConfigDocument document = new ConfigDocument(path);
    try {
      document.parse(BoundedFile.decodeUtf8(BoundedFile.read(path, MAX_BYTES)));
    } catch (IOException e) {
      document.unreadable = !(e instanceof UnusableFileException);
      document.errors.add(
          new ValidationError(path.toString(), 0, 0, "", String.valueOf(e.getMessage())));
    }
    return document;
  }

  private void parse(String text) {
    TomlParseResult result = Toml.parse(text);
    for (TomlParseError error : result.errors()) {
      addError(error.position(), "", "cannot be read as TOML: " + error.getMessage());
    }
    if (!result.hasErrors()) {
      root = new ConfigSection(this, result, "", TomlPosition.positionAt(1, 1));
    }
  }

  /** Returns the root table, or null if the file could not be read or parsed. */
  public ConfigSection root() {
    return root;
  }

  /**
   * Returns whether reading failed with an I/O error that may be temporary, as opposed to a file
   * that is missing or not usable.
   */
  public boolean unreadable() {
    return unreadable;
  }

  /** Returns the path of the file. */
  public Path path() {
    return path;
  }

  /** Resolves a path; a relative one is resolved against the folder of this file. */
  public Path resolve(String configuredPath) {
    return path.toAbsolutePath().normalize().getParent().resolve(configuredPath).normalize();
  }

  void addError(TomlPosition position, String field, String message) {
    errors.add(
        new ValidationError(
            path.toString(),
            position == null ? 0 : position.line(),
            position == null ? 0 : position.column(),
            field,
            message));
  }

  /** Returns all errors found so far, ordered by line and column. */
  public List<ValidationError> errors() {
    return errors.stream()
        .sorted(
            Comparator.comparingInt(ValidationError::line)
                .thenComparingInt(ValidationError::column))
        .toList();
  }
}
