package heathswitch.proxy.gossip;

import heathswitch.proxy.files.BoundedFile;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.Arrays;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.Map;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * Secrets by id, from a file with a line for each: its id and the secret in Base64. The first
 * signs, all are accepted; so one is replaced by adding the new one behind everywhere, then putting
 * it first everywhere, then taking the old one away. For the event loop's thread, once read.
 */
final class KeyRing {
  /** HMAC-SHA256 (RFC 2104, FIPS 180-4), cut to its first 128 bits as RFC 4868 does. */
  static final int SEAL_BYTES = 16;

  static final int MOST_FILE_BYTES = 4096;
  private static final String ALGORITHM = "HmacSHA256";
  private static final int LEAST_SECRET_BYTES = 16;
  private static final int MOST_KEYS = 8;
  private static final String ID = "[A-Za-z0-9_.-]{1,16}";

  /** A file that can't be used; the message says why, with the line. */
  static final class Unusable extends Exception {
    private static final long serialVersionUID = 1L;

    Unusable(String message) {
      super(message);
    }
  }

  private final Map<String, Mac> macs;
  private final String signs;

  private KeyRing(Map<String, Mac> macs, String signs) {
    this.macs = macs;
    this.signs = signs;
  }

  /** Reads a file; not for the event loop. */
  static KeyRing read(Path path) throws Unusable {
    try {
      return parse(BoundedFile.text(BoundedFile.read(path, MOST_FILE_BYTES)));
    } catch (IOException e) {
      throw new Unusable(path + ": " + e.getMessage());
    } catch (Unusable e) {
      throw new Unusable(path + e.getMessage());
    }
  }

  /** Lines that are empty or begin with # say nothing. */
  static KeyRing parse(String text) throws Unusable {
    Map<String, Mac> macs = new LinkedHashMap<>();
    int number = 0;
    for (String line : text.split("\n", -1)) {
      number++;
      if (line.isBlank() || line.startsWith("#")) {
        continue;
      }
      String[] words = line.trim().split("\\s+");
      if (words.length != 2 || !words[0].matches(ID)) {
        throw new Unusable(":" + number + ": an id (" + ID + ") and a secret expected");
      }
      if (macs.size() >= MOST_KEYS) {
        throw new Unusable(":" + number + ": over " + MOST_KEYS + " keys");
      }
      if (macs.put(words[0], mac(words[1], number)) != null) {
        throw new Unusable(":" + number + ": the id \"" + words[0] + "\" stands twice");
      }
    }
    if (macs.isEmpty()) {
      throw new Unusable(": no key; a line with an id and a secret expected");
    }
    return new KeyRing(macs, macs.keySet().iterator().next());
  }

  private static Mac mac(String secret, int number) throws Unusable {
    try {
      byte[] bytes = Base64.getDecoder().decode(secret);
      if (bytes.length < LEAST_SECRET_BYTES) {
        throw new Unusable(
            ":" + number + ": a secret of " + bytes.length + " bytes; 16 or more expected");
      }
      Mac mac = Mac.getInstance(ALGORITHM);
      mac.init(new SecretKeySpec(bytes, ALGORITHM));
      return mac;
    } catch (IllegalArgumentException e) {
      throw new Unusable(":" + number + ": the secret is not in Base64");
    } catch (GeneralSecurityException e) {
      throw new IllegalStateException(e); // Every JDK has it.
    }
  }

  /** The id of the key that signs. */
  String signs() {
    return signs;
  }

  /** The seal of the first bytes by a key, or null where that key is not held. */
  private byte[] seal(String id, byte[] bytes, int length) {
    Mac mac = macs.get(id);
    if (mac == null) {
      return null;
    }
    mac.update(bytes, 0, length);
    return Arrays.copyOf(mac.doFinal(), SEAL_BYTES);
  }

  /** The seal by the key that signs. */
  byte[] seal(byte[] bytes, int length) {
    return seal(signs, bytes, length);
  }

  /** Whether what follows the first bytes is their seal by a key that is held. */
  boolean sealed(String id, byte[] bytes, int length) {
    byte[] seal = seal(id, bytes, length);
    return seal != null
        && bytes.length == length + SEAL_BYTES
        && MessageDigest.isEqual(seal, Arrays.copyOfRange(bytes, length, bytes.length));
  }

  /** Whether it is the same secret by the same id that signs, and as many are held. */
  boolean like(KeyRing other) {
    byte[] probe = signs.getBytes(StandardCharsets.US_ASCII);
    return signs.equals(other.signs)
        && macs.keySet().equals(other.macs.keySet())
        && macs.keySet().stream()
            .allMatch(
                id ->
                    Arrays.equals(
                        seal(id, probe, probe.length), other.seal(id, probe, probe.length)));
  }
}
