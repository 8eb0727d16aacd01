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
 * A certificate authority for one test or measurement, made with the JDK's own keytool in a folder
 * that its caller owns. What it signs is for loopback and for days.
 */
public final class Authority {
  private static final char[] WORD = "loopback".toCharArray();
  private static final long WAIT_SECONDS = 60;

  private final Path folder;
  private final String name;
  private final Path store;

  /** Makes the authority's own key and certificate. */
  public Authority(Path folder, String name) throws IOException {
    this.folder = folder;
    this.name = name;
    store = folder.resolve(name + ".p12");
    keytool(List.of("-alias", "ca", "-dname", "CN=" + name, "-ext", "bc:c", "-validity", "3"));
    write(folder.resolve(name + ".pem"), pem("CERTIFICATE", chain("ca")[0]));
  }

  /** The authority's certificate, for whoever is to believe it. */
  public Path certificate() {
    return folder.resolve(name + ".pem");
  }

  /** Signs for a site from now on; its files are {@code FILE.pem} and {@code FILE.key}. */
  public void sign(String file, String site) throws IOException {
    sign(file, site, 3);
  }

  /** As above, for so many days. */
  public void sign(String file, String site, int days) throws IOException {
    sign(file, site, "-1H", days);
  }

  /** Signs for a site with a certificate that has ended. */
  public void signExpired(String file, String site) throws IOException {
    sign(file, site, "-3d", 1);
  }

  private void sign(String file, String site, String start, int days) throws IOException {
    String alias = file + '-' + System.nanoTime();
    keytool(
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
      write(
          folder.resolve(file + ".key"),
          pem("PRIVATE KEY", load().getKey(alias, WORD).getEncoded()));
    } catch (GeneralSecurityException e) {
      throw new IOException(e);
    }
    write(folder.resolve(file + ".pem"), pem("CERTIFICATE", chain(alias)[0]));
  }

  private void keytool(List<String> more) throws IOException {
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "keytool").toString());
    command.addAll(List.of("-genkeypair", "-keyalg", "EC", "-groupname", "secp256r1"));
    command.addAll(List.of("-storetype", "PKCS12", "-keystore", store.toString()));
    command.addAll(List.of("-storepass", new String(WORD)));
    command.addAll(more);
    Process process = new ProcessBuilder(command).redirectErrorStream(true).start();
    try (InputStream in = process.getInputStream()) {
      String said = new String(in.readAllBytes());
      if (!process.waitFor(WAIT_SECONDS, TimeUnit.SECONDS) || process.exitValue() != 0) {
        throw new IOException("keytool: " + said);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException(e);
    }
  }

  private KeyStore load() throws IOException {
    try (InputStream in = Files.newInputStream(store)) {
      KeyStore keys = KeyStore.getInstance("PKCS12");
      keys.load(in, WORD);
      return keys;
    } catch (GeneralSecurityException e) {
      throw new IOException(e);
    }
  }

  private Certificate[] chain(String alias) throws IOException {
    try {
      return load().getCertificateChain(alias);
    } catch (GeneralSecurityException e) {
      throw new IOException(e);
    }
  }

  private static String pem(String what, Certificate certificate) throws IOException {
    try {
      return pem(what, certificate.getEncoded());
    } catch (GeneralSecurityException e) {
      throw new IOException(e);
    }
  }

  private static String pem(String what, byte[] bytes) {
    String body = Base64.getMimeEncoder(64, new byte[] {'\n'}).encodeToString(bytes);
    return "-----BEGIN " + what + "-----\n" + body + "\n-----END " + what + "-----\n";
  }

  /** In one step, as whoever follows the file must not read half of it. */
  private static void write(Path file, String text) {
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
