package heathswitch.proxy.config;

import java.util.Collection;

/** Finds the name that somebody may have meant. */
final class Nearest {
  private Nearest() {}

  /** The name that is fewest edits away, or null where none is near. */
  static String to(String word, Collection<String> names) {
    String best = null;
    int least = Math.max(1, word.length() / 3) + 1;
    for (String name : names) {
      int edits = edits(word, name);
      if (edits < least) {
        least = edits;
        best = name;
      }
    }
    return best;
  }

  /** Insertions, deletions, replacements and swaps of neighbours (optimal string alignment). */
  static int edits(String one, String other) {
    int[][] table = new int[one.length() + 1][other.length() + 1];
    for (int i = 0; i <= one.length(); i++) {
      for (int j = 0; j <= other.length(); j++) {
        if (i == 0 || j == 0) {
          table[i][j] = i + j;
          continue;
        }
        int cost = one.charAt(i - 1) == other.charAt(j - 1) ? 0 : 1;
        int edits =
            Math.min(table[i - 1][j - 1] + cost, Math.min(table[i - 1][j], table[i][j - 1]) + 1);
        if (i > 1
            && j > 1
            && one.charAt(i - 1) == other.charAt(j - 2)
            && one.charAt(i - 2) == other.charAt(j - 1)) {
          edits = Math.min(edits, table[i - 2][j - 2] + 1);
        }
        table[i][j] = edits;
      }
    }
    return table[one.length()][other.length()];
  }
}
