package heathswitch.policy.gateway;

import java.util.List;

/**
 * The sites that a call has seen, oldest first, as one header between gateways: {@code 1;hat-yai}.
 *
 * <pre>
 * trail   = version ";" site *( "," site ) *( ";" later )
 * version = 1*2DIGIT, from 1; every version keeps this form and may add to what follows
 * site    = 1*32( a-z / 0-9 / "-" )
 * later   = visible ASCII without ";", not read by this version
 * </pre>
 */
public record Trail(List<String> sites) {
  /** Characters of the whole header. */
  public static final int MAX_LENGTH = 400;

  public static final int MAX_SITES = 8;

  private static final int MOST_NAME = 32;

  public Trail {
    sites = List.copyOf(sites);
  }

  /** A call that leaves its own site. */
  public static String headerFrom(String site) {
    return "1;" + site;
  }

  /** Whether a text may be a site's name. */
  public static boolean isSiteName(String text) {
    return !text.isEmpty()
        && text.length() <= MOST_NAME
        && text.chars().allMatch(c -> c >= 'a' && c <= 'z' || c >= '0' && c <= '9' || c == '-');
  }

  /** Null for what is garbled, too long or of no version. */
  public static Trail parse(CharSequence text) {
    if (text == null || text.length() > MAX_LENGTH) {
      return null;
    }
    String[] fields = text.toString().split(";", -1);
    if (fields.length < 2 || !fields[0].matches("[1-9][0-9]?")) {
      return null;
    }
    List<String> sites = List.of(fields[1].split(",", -1));
    boolean good =
        sites.size() <= MAX_SITES
            && sites.stream().allMatch(Trail::isSiteName)
            && text.chars().allMatch(c -> c > ' ' && c < 127);
    return good ? new Trail(sites) : null;
  }

  /** The site that sent the call to this one. */
  public String lastSite() {
    return sites.get(sites.size() - 1);
  }
}
