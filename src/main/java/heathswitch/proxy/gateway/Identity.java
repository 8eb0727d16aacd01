package heathswitch.proxy.gateway;

import heathswitch.proxy.files.BoundedFile;
import io.netty.handler.ssl.ApplicationProtocolConfig;
import io.netty.handler.ssl.ApplicationProtocolNames;
import io.netty.handler.ssl.ClientAuth;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import io.netty.handler.ssl.SslProvider;
import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.KeyFactory;
import java.security.PrivateKey;
import java.security.Signature;
import java.security.cert.Certificate;
import java.security.cert.CertificateException;
import java.security.cert.CertificateFactory;
import java.security.cert.X509Certificate;
import java.security.spec.PKCS8EncodedKeySpec;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Collection;
import java.util.Date;
import java.util.List;

/**
 * What a gateway shows its peers, and whom it believes, as read from its files at one time. TLS 1.3
 * alone (RFC 8446), both sides with a certificate; a site is a DNS name among the certificate's
 * subject alternative names (RFC 5280, section 4.2.1.6).
 */
final class Identity {
  private static final int MOST_BYTES = 1 << 20;
  private static final int DNS_NAME = 2;
  private static final String PEM_KEY = "PRIVATE KEY";

  /** A file that cannot be used; the message names it and what is wrong. */
  static final class UnusableFileException extends Exception {
    private static final long serialVersionUID = 1L;

    UnusableFileException(Path file, String why) {
      super(file + ": " + why);
    }
  }

  private final SslContext server;
  private final SslContext client;
  private final Date until;

  private Identity(SslContext server, SslContext client, Date until) {
    this.server = server;
    this.client = client;
    this.until = until;
  }

  /** Reads the files and checks that they belong together and name the site. */
  static Identity read(GatewayTable.Keys keys, String site) throws UnusableFileException {
    List<X509Certificate> chain = certificates(keys.certificate());
    List<X509Certificate> authority = certificates(keys.authority());
    X509Certificate own = chain.get(0);
    try {
      own.checkValidity();
    } catch (CertificateException e) {
      throw new UnusableFileException(keys.certificate(), "is not valid now: " + e.getMessage());
    }
    if (!sites(own).contains(site)) {
      throw new UnusableFileException(
          keys.certificate(), "names " + sites(own) + " and not the site \"" + site + '"');
    }
    PrivateKey key = key(keys.key(), own);
    X509Certificate[] shown = chain.toArray(X509Certificate[]::new);
    X509Certificate[] believed = authority.toArray(X509Certificate[]::new);
    try {
      SslContextBuilder server = SslContextBuilder.forServer(key, shown);
      SslContextBuilder client = SslContextBuilder.forClient().keyManager(key, shown);
      return new Identity(
          common(server.clientAuth(ClientAuth.REQUIRE), believed).build(),
          common(client, believed).build(),
          own.getNotAfter());
    } catch (IOException e) {
      throw new UnusableFileException(keys.certificate(), "cannot be used: " + e.getMessage());
    }
  }

  private static SslContextBuilder common(SslContextBuilder builder, X509Certificate[] believed) {
    return builder
        .sslProvider(SslProvider.JDK)
        .protocols("TLSv1.3")
        .trustManager(believed)
        // A session that is taken up again would outlive a certificate that was replaced.
        .sessionCacheSize(1)
        .sessionTimeout(1)
        .applicationProtocolConfig(
            new ApplicationProtocolConfig(
                ApplicationProtocolConfig.Protocol.ALPN,
                ApplicationProtocolConfig.SelectorFailureBehavior.NO_ADVERTISE,
                ApplicationProtocolConfig.SelectedListenerFailureBehavior.ACCEPT,
                ApplicationProtocolNames.HTTP_2));
  }

  SslContext server() {
    return server;
  }

  SslContext client() {
    return client;
  }

  /** When the certificate that is shown ends. */
  Date until() {
    return until;
  }

  /** The names that a certificate carries for its holder. */
  static List<String> sites(Certificate certificate) {
    List<String> names = new ArrayList<>();
    try {
      Collection<List<?>> all = ((X509Certificate) certificate).getSubjectAlternativeNames();
      for (List<?> name : all == null ? List.<List<?>>of() : all) {
        if (name.get(0).equals(DNS_NAME)) {
          names.add(String.valueOf(name.get(1)));
        }
      }
    } catch (CertificateException e) {
      return List.of();
    }
    return names;
  }

  private static String text(Path file) throws UnusableFileException {
    try {
      return BoundedFile.text(BoundedFile.read(file, MOST_BYTES));
    } catch (IOException e) {
      throw new UnusableFileException(file, String.valueOf(e.getMessage()));
    }
  }

  private static List<X509Certificate> certificates(Path file) throws UnusableFileException {
    byte[] bytes = text(file).getBytes(StandardCharsets.US_ASCII);
    try {
      List<X509Certificate> certificates = new ArrayList<>();
      CertificateFactory factory = CertificateFactory.getInstance("X.509");
      for (Certificate each : factory.generateCertificates(new ByteArrayInputStream(bytes))) {
        certificates.add((X509Certificate) each);
      }
      if (certificates.isEmpty()) {
        throw new UnusableFileException(file, "has no certificate");
      }
      return certificates;
    } catch (CertificateException e) {
      throw new UnusableFileException(file, "is no certificate in PEM: " + e.getMessage());
    }
  }

  /** The key, if it is that of the certificate. */
  private static PrivateKey key(Path file, X509Certificate certificate)
      throws UnusableFileException {
    String text = text(file);
    int from = text.indexOf("-----BEGIN " + PEM_KEY + "-----");
    int to = text.indexOf("-----END " + PEM_KEY + "-----");
    if (from < 0 || to < from) {
      throw new UnusableFileException(
          file, "is no private key in PEM, as PKCS #8 without a password");
    }
    try {
      String body = text.substring(text.indexOf('\n', from), to);
      byte[] bytes = Base64.getMimeDecoder().decode(body);
      String algorithm = certificate.getPublicKey().getAlgorithm();
      PrivateKey key =
          KeyFactory.getInstance(algorithm).generatePrivate(new PKCS8EncodedKeySpec(bytes));
      String signing = algorithm.equals("EC") ? "SHA256withECDSA" : "SHA256with" + algorithm;
      Signature signature = Signature.getInstance(signing);
      signature.initSign(key);
      signature.update(bytes);
      byte[] signed = signature.sign();
      signature.initVerify(certificate);
      signature.update(bytes);
      if (!signature.verify(signed)) {
        throw new UnusableFileException(file, "is not the key of the certificate");
      }
      return key;
    } catch (GeneralSecurityException | IllegalArgumentException e) {
      throw new UnusableFileException(
          file, "is no key that fits the certificate: " + e.getMessage());
    }
  }
}
