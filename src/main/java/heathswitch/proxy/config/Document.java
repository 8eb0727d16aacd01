package heathswitch.proxy.config;

import heathswitch.proxy.files.BoundedFile;
import heathswitch.proxy.files.FileFault;
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
 * A configuration file in TOML and what is wrong with it. Each subsystem reads and checks its own
 * table through {@link #root}.
 */
public final class Document {
  private static final int MOST_BYTES = 1 << 20;

  private final Path path;
  private final List<Fault> faults = new ArrayList<>();
  private Section root;
  private boolean unreadable;

  private Document(Path path) {
    this.path = path;
  }

  /** Reads the file; where it cannot be parsed there is no root, and the faults say why. */
  public static Document read(Path path) {
    Document document = new Document(path);
    try {
      document.parse(BoundedFile.text(BoundedFile.read(path, MOST_BYTES)));
    } catch (IOException e) {
      document.unreadable = !(e instanceof FileFault);
      document.faults.add(new Fault(path.toString(), 0, 0, "", String.valueOf(e.getMessage())));
    }
    return document;
  }

  private void parse(String text) {
    TomlParseResult result = Toml.parse(text);
    for (TomlParseError error : result.errors()) {
      fault(error.position(), "", "cannot be read as TOML: " + error.getMessage());
    }
    if (!result.hasErrors()) {
      root = new Section(this, result, "", TomlPosition.positionAt(1, 1));
    }
  }

  /** The whole file as a table, or null where it could not be parsed. */
  public Section root() {
    return root;
  }

  /** Whether the file is there and could not be read now, so that it may be in a moment. */
  public boolean unreadable() {
    return unreadable;
  }

  public Path path() {
    return path;
  }

  /** A path of the configuration: relative ones start from the configuration's own folder. */
  public Path resolve(String text) {
    return path.toAbsolutePath().normalize().getParent().resolve(text).normalize();
  }

  void fault(TomlPosition at, String field, String message) {
    faults.add(
        new Fault(
            path.toString(),
            at == null ? 0 : at.line(),
            at == null ? 0 : at.column(),
            field,
            message));
  }

  /** All faults found so far, in the order of the file. */
  public List<Fault> faults() {
    return faults.stream()
        .sorted(Comparator.comparingInt(Fault::line).thenComparingInt(Fault::column))
        .toList();
  }
}
