package heathswitch.proxy.config;

import java.util.Collection;

/** Suggests the known name closest to a misspelled one. */
final class NameSuggestion {
  private NameSuggestion() {}

  /**
   * Returns the name with the smallest edit distance, or null if every distance exceeds a third of
   * the word's length (at least 1).
   */
  static String closest(String word, Collection<String> names) {
    String closest = null;
    int minDistance = Math.max(1, word.length() / 3) + 1;
    for (String name : names) {
      int distance = editDistance(word, name);
      if (distance < minDistance) {
        minDistance = distance;
        closest = name;
      }
    }
    return closest;
  }

  /**
   * Returns the number of insertions, deletions, substitutions and transpositions of adjacent
   * characters (optimal string alignment distance).
   */
  static int editDistance(String first, String second) {
    int[][] distances = new int[first.length() + 1][second.length() + 1];
    for (int i = 0; i <= first.length(); i++) {
      for (int j = 0; j <= second.length(); j++) {
        if (i == 0 || j == 0) {
          distances[i][j] = i + j;
          continue;
        }
        int cost = first.charAt(i - 1) == second.charAt(j - 1) ? 0 : 1;
        int distance =
            Math.min(
                distances[i - 1][j - 1] + cost,
                Math.min(distances[i - 1][j], distances[i][j - 1]) + 1);
        if (i > 1
            && j > 1
            && first.charAt(i - 1) == second.charAt(j - 2)
            && first.charAt(i - 2) == second.charAt(j - 1)) {
          distance = Math.min(distance, distances[i - 2][j - 2] + 1);
        }
        distances[i][j] = distance;
      }
    }
    return distances[first.length()][second.length()];
  }
}
