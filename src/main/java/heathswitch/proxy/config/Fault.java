package heathswitch.proxy.config;

/**
 * What is wrong at one place of a file.
 *
 * @param line from 1, or 0 where the whole file is meant
 * @param column from 1, or 0 where the whole line is meant
 * @param field the key or column that is wrong, or empty
 */
public record Fault(String file, int line, int column, String field, String message) {
  /** {@code file:line:column: field: what is wrong, what is expected}. */
  @Override
  public String toString() {
    StringBuilder text = new StringBuilder(file);
    if (line > 0) {
      text.append(':').append(line);
      if (column > 0) {
        text.append(':').append(column);
      }
    }
    text.append(": ");
    if (!field.isEmpty()) {
      text.append(field).append(": ");
    }
    return text.append(message).toString();
  }
}
