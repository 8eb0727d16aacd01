package heathswitch.proxy.members;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** SHA-256 (FIPS 180-4) in small hexadecimal letters. */
final class Sha256 {
  private Sha256() {}

  static String hex(byte[] bytes, int offset, int length) {
    try {
      MessageDigest digest = MessageDigest.getInstance("SHA-256");
      digest.update(bytes, offset, length);
      return HexFormat.of().formatHex(digest.digest());
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(e); // Every JDK has it.
    }
  }
}
