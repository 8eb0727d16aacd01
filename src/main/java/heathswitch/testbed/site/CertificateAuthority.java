package heathswitch.testbed.site;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.KeyStore;
import java.security.cert.Certificate;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Certificate authority for one test or measurement, created with the JDK's keytool in a folder
 * owned by the caller. Its certificates are for loopback and valid for a few days.
 */
public final class CertificateAuthority {
  private static final char[] PASSWORD = "loopback".toCharArray();
  private static final long KEYTOOL_TIMEOUT_SECONDS = 60;

  private final Path folder;
  private final String name;
  private final Path keyStoreFile;

  /** Creates the key and the certificate of the authority. */
  public CertificateAuthority(Path folder, String name) throws IOException {
    this.folder = folder;
    this.name = name;
    keyStoreFile = folder.resolve(name + ".p12");
    runKeytool(List.of("-alias", "ca", "-dname", "CN=" + name, "-ext", "bc:c", "-validity", "3"));
    writeAtomically(folder.resolve(name + ".pem"), pem("CERTIFICATE", certificateChain("ca")[0]));
  }

  /** Returns the certificate file of the authority, for use as a trust anchor. */
  public Path certificateFile() {
    return folder.resolve(name + ".pem");
  }

  /**
   * Issues a certificate for a site that is valid for three days. Writes {@code FILE.pem} and
   * {@code FILE.key}.
   */
  public void issue(String file, String site) throws IOException {
    issue(file, site, 3);
  }

  /** Issues a certificate for a site that is valid for the given number of days. */
  public void issue(String file, String site, int days) throws IOException {
    issue(file, site, "-1H", days);
  }

  /** Issues an expired certificate for a site. */
  public void issueExpired(String file, String site) throws IOException {
    issue(file, site, "-3d", 1);
  }

  private void issue(String file, String site, String start, int days) throws IOException {
    String alias = file + '-' + System.nanoTime();
    runKeytool(
        List.of(
            "-alias",
            alias,
            "-dname",
            "CN=" + site,
            "-signer",
            "ca",
            "-ext",
            "san=dns:" + site,
            "-ext",
            "eku=serverAuth,clientAuth",
            "-startdate",
            start,
            "-validity",
            Integer.toString(days)));
    try {
      writeAtomically(
          folder.resolve(file + ".key"),
          pem("PRIVATE KEY", loadKeyStore().getKey(alias, PASSWORD).getEncoded()));
    } catch (GeneralSecurityException e) {
      throw new IOException(e);
    }
    writeAtomically(folder.resolve(file + ".pem"), pem("CERTIFICATE", certificateChain(alias)[0]));
  }

  private void runKeytool(List<String> arguments) throws IOException {
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "keytool").toString());
    command.addAll(List.of("-genkeypair", "-keyalg", "EC", "-groupname", "secp256r1"));
    command.addAll(List.of("-storetype", "PKCS12", "-keystore", keyStoreFile.toString()));
    command.addAll(List.of("-storepass", new String(PASSWORD)));
    command.addAll(arguments);
    Process process = new ProcessBuilder(command).redirectErrorStream(true).start();
    try (InputStream in = process.getInputStream()) {
      String output = new String(in.readAllBytes());
      if (!process.waitFor(KEYTOOL_TIMEOUT_SECONDS, TimeUnit.SECONDS) || process.exitValue() != 0) {
        throw new IOException("keytool: " + output);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException(e);
    }
  }

  private KeyStore loadKeyStore() throws IOException {
    try (InputStream in = Files.newInputStream(keyStoreFile)) {
      KeyStore keyStore = KeyStore.getInstance("PKCS12");
      keyStore.load(in, PASSWORD);
      return keyStore;
    } catch (GeneralSecurityException e) {
      throw new IOException(e);
    }
  }

  private Certificate[] certificateChain(String alias) throws IOException {
    try {
      return loadKeyStore().getCertificateChain(alias);
    } catch (GeneralSecurityException e) {
      throw new IOException(e);
    }
  }

  private static String pem(String label, Certificate certificate) throws IOException {
    try {
      return pem(label, certificate.getEncoded());
    } catch (GeneralSecurityException e) {
      throw new IOException(e);
    }
  }

  private static String pem(String label, byte[] bytes) {
    String body = Base64.getMimeEncoder(64, new byte[] {'\n'}).encodeToString(bytes);
    return "-----BEGIN " + label + "-----\n" + body + "\n-----END " + label + "-----\n";
  }

  /** Replaces the file atomically, so that a process that watches it never reads part of it. */
  private static void writeAtomically(Path file, String text) {
    try {
      Path next = Files.writeString(file.resolveSibling(file.getFileName() + ".next"), text);
      Files.move(
          next,
          file,
          java.nio.file.StandardCopyOption.ATOMIC_MOVE,
          java.nio.file.StandardCopyOption.REPLACE_EXISTING);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
