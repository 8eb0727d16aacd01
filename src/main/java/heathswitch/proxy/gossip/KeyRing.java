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
 * Shared keys that authenticate datagrams, by id. They are read from a file with one key per line:
 * its id and the secret in Base64. The first key signs, and all keys are accepted. A key is rotated
 * by appending the new one on all balancers, then moving it to the first line on all, then removing
 * the old one. After loading, for use on the event loop's thread only.
 */
final class KeyRing {
  /** HMAC-SHA256 (RFC 2104, FIPS 180-4), truncated to its first 128 bits as in RFC 4868. */
  static final int TAG_BYTES = 16;

  static final int MAX_FILE_BYTES = 4096;
  private static final String ALGORITHM = "HmacSHA256";
  private static final int MIN_SECRET_BYTES = 16;
  private static final int MAX_KEYS = 8;
  private static final String ID = "[A-Za-z0-9_.-]{1,16}";

  /** The key file is not valid; the message says why and names the line. */
  static final class InvalidKeysException extends Exception {
    private static final long serialVersionUID = 1L;

    InvalidKeysException(String message) {
      super(message);
    }
  }

  private final Map<String, Mac> macs;
  private final String signingKeyId;

  private KeyRing(Map<String, Mac> macs, String signingKeyId) {
    this.macs = macs;
    this.signingKeyId = signingKeyId;
  }

  /** Reads a key file; must not be called on the event loop. */
  static KeyRing read(Path path) throws InvalidKeysException {
    try {
      return parse(BoundedFile.decodeUtf8(BoundedFile.read(path, MAX_FILE_BYTES)));
    } catch (IOException e) {
      throw new InvalidKeysException(path + ": " + e.getMessage());
    } catch (InvalidKeysException e) {
      throw new InvalidKeysException(path + e.getMessage());
    }
  }

  /** Parses the text of a key file; empty lines and lines that begin with # are skipped. */
  static KeyRing parse(String text) throws InvalidKeysException {
    Map<String, Mac> macs = new LinkedHashMap<>();
    int number = 0;
    for (String line : text.split("\n", -1)) {
      number++;
      if (line.isBlank() || line.startsWith("#")) {
        continue;
      }
      String[] fields = line.trim().split("\\s+");
      if (fields.length != 2 || !fields[0].matches(ID)) {
        throw new InvalidKeysException(":" + number + ": an id (" + ID + ") and a secret expected");
      }
      if (macs.size() >= MAX_KEYS) {
        throw new InvalidKeysException(":" + number + ": over " + MAX_KEYS + " keys");
      }
      if (macs.put(fields[0], mac(fields[1], number)) != null) {
        throw new InvalidKeysException(
            ":" + number + ": the id \"" + fields[0] + "\" is used twice");
      }
    }
    if (macs.isEmpty()) {
      throw new InvalidKeysException(": no key; a line with an id and a secret expected");
    }
    return new KeyRing(macs, macs.keySet().iterator().next());
  }

  private static Mac mac(String secret, int number) throws InvalidKeysException {
    try {
      byte[] bytes = Base64.getDecoder().decode(secret);
      if (bytes.length < MIN_SECRET_BYTES) {
        throw new InvalidKeysException(
            ":" + number + ": a secret of " + bytes.length + " bytes; 16 or more expected");
      }
      Mac mac = Mac.getInstance(ALGORITHM);
      mac.init(new SecretKeySpec(bytes, ALGORITHM));
      return mac;
    } catch (IllegalArgumentException e) {
      throw new InvalidKeysException(":" + number + ": the secret is not in Base64");
    } catch (GeneralSecurityException e) {
      throw new IllegalStateException(e); // Every JDK provides this algorithm.
    }
  }

  /** The id of the key that signs. */
  String signingKeyId() {
    return signingKeyId;
  }

  /** The authentication tag of the first bytes under a key, or null if there is no such key. */
  private byte[] tag(String id, byte[] bytes, int length) {
    Mac mac = macs.get(id);
    if (mac == null) {
      return null;
    }
    mac.update(bytes, 0, length);
    return Arrays.copyOf(mac.doFinal(), TAG_BYTES);
  }

  /** The authentication tag of the first bytes under the signing key. */
  byte[] tag(byte[] bytes, int length) {
    return tag(signingKeyId, bytes, length);
  }

  /** Whether the first bytes are followed by their authentication tag under a known key. */
  boolean verify(String id, byte[] bytes, int length) {
    byte[] tag = tag(id, bytes, length);
    return tag != null
        && bytes.length == length + TAG_BYTES
        && MessageDigest.isEqual(tag, Arrays.copyOfRange(bytes, length, bytes.length));
  }

  /** Whether both have the same signing key id, and the same ids with the same secrets. */
  boolean hasSameKeys(KeyRing other) {
    byte[] sample = signingKeyId.getBytes(StandardCharsets.US_ASCII);
    return signingKeyId.equals(other.signingKeyId)
        && macs.keySet().equals(other.macs.keySet())
        && macs.keySet().stream()
            .allMatch(
                id ->
                    Arrays.equals(
                        tag(id, sample, sample.length), other.tag(id, sample, sample.length)));
  }
}
