package heathswitch.policy.gateway;

import java.util.List;

/**
 * The sites that a call has passed through, oldest first. Gateways send it as one header for loop
 * detection, for example {@code 1;hat-yai}.
 *
 * <pre>
 * trail   = version ";" site *( "," site ) *( ";" later )
 * version = 1*2DIGIT, from 1; every version keeps this form and may append fields
 * site    = 1*32( a-z / 0-9 / "-" )
 * later   = visible ASCII without ";", ignored by this version
 * </pre>
 */
public record Trail(List<String> sites) {
  /** Maximum length of the header value in characters. */
  public static final int MAX_LENGTH = 400;

  public static final int MAX_SITES = 8;

  private static final int MAX_SITE_NAME_LENGTH = 32;

  public Trail {
    sites = List.copyOf(sites);
  }

  /** Returns the header value of a call that leaves the site at which it arrived. */
  public static String headerFrom(String site) {
    return "1;" + site;
  }

  /** Returns whether a text is a valid site name. */
  public static boolean isSiteName(String text) {
    return !text.isEmpty()
        && text.length() <= MAX_SITE_NAME_LENGTH
        && text.chars().allMatch(c -> c >= 'a' && c <= 'z' || c >= '0' && c <= '9' || c == '-');
  }

  /** Parses a header value; returns null if it is malformed, too long or has no version. */
  public static Trail parse(CharSequence text) {
    if (text == null || text.length() > MAX_LENGTH) {
      return null;
    }
    String[] fields = text.toString().split(";", -1);
    if (fields.length < 2 || !fields[0].matches("[1-9][0-9]?")) {
      return null;
    }
    List<String> sites = List.of(fields[1].split(",", -1));
    boolean valid =
        sites.size() <= MAX_SITES
            && sites.stream().allMatch(Trail::isSiteName)
            && text.chars().allMatch(c -> c > ' ' && c < 127);
    return valid ? new Trail(sites) : null;
  }

  /** Returns the site that sent the call to this one. */
  public String lastSite() {
    return sites.get(sites.size() - 1);
  }
}
