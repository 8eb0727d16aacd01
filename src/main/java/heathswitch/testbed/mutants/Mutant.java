package heathswitch.testbed.mutants;

/**
 * A fault that is injected into a copy of a class. The source files themselves are not changed.
 *
 * @param className fully qualified name of the class
 * @param original text that occurs exactly once in the source of the class
 * @param replacement text that takes its place
 */
public record Mutant(String className, String original, String replacement) {
  @Override
  public String toString() {
    String simpleName = className.substring(className.lastIndexOf('.') + 1);
    return simpleName + ": " + original.strip().replaceAll("\\s+", " ");
  }
}
