package heathswitch.proxy.grpc;

/**
 * Parses and formats the header {@code grpc-timeout}: at most eight digits and a unit (gRPC over
 * HTTP/2).
 */
final class GrpcTimeout {
  private static final int MAX_DIGITS = 8;
  private static final String UNITS = "HMSmun";
  private static final long[] NANOS = {
    3_600_000_000_000L, 60_000_000_000L, 1_000_000_000L, 1_000_000L, 1000L, 1L
  };

  private GrpcTimeout() {}

  /**
   * Returns the timeout in nanoseconds, or -1 if the text is malformed. A timeout that exceeds the
   * range of a long, as large numbers of hours do, becomes {@link Long#MAX_VALUE}.
   */
  static long parse(CharSequence text) {
    int digits = text.length() - 1;
    if (digits < 1 || digits > MAX_DIGITS) {
      return -1;
    }
    long value = 0;
    for (int i = 0; i < digits; i++) {
      char c = text.charAt(i);
      if (c < '0' || c > '9') {
        return -1;
      }
      value = 10 * value + c - '0';
    }
    int unit = UNITS.indexOf(text.charAt(digits));
    if (unit < 0) {
      return -1;
    }
    return value > Long.MAX_VALUE / NANOS[unit] ? Long.MAX_VALUE : value * NANOS[unit];
  }

  /**
   * Formats the timeout in the finest unit in which it fits eight digits, rounded down, so that a
   * forwarded timeout never grows.
   */
  static String format(long nanos) {
    long left = Math.max(0, nanos);
    for (int unit = UNITS.length() - 1; unit >= 0; unit--) {
      long value = left / NANOS[unit];
      if (value < 100_000_000L) {
        return value + UNITS.substring(unit, unit + 1);
      }
    }
    return "99999999H";
  }
}
