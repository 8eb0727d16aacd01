package heathswitch.testbed.mutants;

/**
 * A fault that is put into a copy of a class: a text that stands once in its source, and what
 * stands there instead. The sources themselves know nothing of it.
 */
public record Mutant(String type, String text, String instead) {
  @Override
  public String toString() {
    String place = type.substring(type.lastIndexOf('.') + 1);
    return place + ": " + text.strip().replaceAll("\\s+", " ");
  }
}
