package heathswitch.proxy.config;

/**
 * An error in a configuration or member file, with its source position.
 *
 * @param file the file as the message shows it
 * @param line the line number from 1, or 0 if the error concerns the whole file
 * @param column the column number from 1, or 0 if the error concerns the whole line
 * @param field the key or field that is invalid, or empty
 * @param message what is wrong and what is expected
 */
public record ValidationError(String file, int line, int column, String field, String message) {
  /** Formats the error as {@code file:line:column: field: message}, without the absent parts. */
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
