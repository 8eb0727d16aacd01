package heathswitch.proxy.members;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** Computes SHA-256 digests (FIPS 180-4) in lower-case hexadecimal. */
final class Sha256 {
  private Sha256() {}

  static String hex(byte[] bytes, int offset, int length) {
    try {
      MessageDigest digest = MessageDigest.getInstance("SHA-256");
      digest.update(bytes, offset, length);
      return HexFormat.of().formatHex(digest.digest());
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(e); // Every JDK provides SHA-256.
    }
  }
}
