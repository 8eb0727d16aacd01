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
 * The certificate, key and trust anchor of a gateway, as read from their files at one time. Uses
 * TLS 1.3 only (RFC 8446) with mutual authentication. A site is identified by a DNS name among the
 * certificate's subject alternative names (RFC 5280, section 4.2.1.6).
 */
final class Identity {
  private static final int MAX_FILE_BYTES = 1 << 20;
  private static final int DNS_NAME_TYPE = 2;
  private static final String PEM_KEY = "PRIVATE KEY";

  /** A file cannot be used; the message names the file and the reason. */
  static final class UnusableFileException extends Exception {
    private static final long serialVersionUID = 1L;

    UnusableFileException(Path file, String reason) {
      super(file + ": " + reason);
    }
  }

  private final SslContext serverContext;
  private final SslContext clientContext;
  private final Date expiry;

  private Identity(SslContext serverContext, SslContext clientContext, Date expiry) {
    this.serverContext = serverContext;
    this.clientContext = clientContext;
    this.expiry = expiry;
  }

  /** Reads the files and checks that the key fits the certificate and that it names the site. */
  static Identity read(GatewayTable.Keys keys, String site) throws UnusableFileException {
    List<X509Certificate> chain = certificates(keys.certificate());
    List<X509Certificate> authority = certificates(keys.authority());
    X509Certificate own = chain.get(0);
    try {
      own.checkValidity();
    } catch (CertificateException e) {
      throw new UnusableFileException(keys.certificate(), "is not valid now: " + e.getMessage());
    }
    if (!dnsNames(own).contains(site)) {
      throw new UnusableFileException(
          keys.certificate(), "names " + dnsNames(own) + " and not the site \"" + site + '"');
    }
    PrivateKey key = key(keys.key(), own);
    X509Certificate[] ownChain = chain.toArray(X509Certificate[]::new);
    X509Certificate[] trusted = authority.toArray(X509Certificate[]::new);
    try {
      SslContextBuilder serverBuilder = SslContextBuilder.forServer(key, ownChain);
      SslContextBuilder clientBuilder = SslContextBuilder.forClient().keyManager(key, ownChain);
      return new Identity(
          configure(serverBuilder.clientAuth(ClientAuth.REQUIRE), trusted).build(),
          configure(clientBuilder, trusted).build(),
          own.getNotAfter());
    } catch (IOException e) {
      throw new UnusableFileException(keys.certificate(), "cannot be used: " + e.getMessage());
    }
  }

  private static SslContextBuilder configure(SslContextBuilder builder, X509Certificate[] trusted) {
    return builder
        .sslProvider(SslProvider.JDK)
        .protocols("TLSv1.3")
        .trustManager(trusted)
        // A resumed session would remain valid after its certificate was replaced.
        .sessionCacheSize(1)
        .sessionTimeout(1)
        .applicationProtocolConfig(
            new ApplicationProtocolConfig(
                ApplicationProtocolConfig.Protocol.ALPN,
                ApplicationProtocolConfig.SelectorFailureBehavior.NO_ADVERTISE,
                ApplicationProtocolConfig.SelectedListenerFailureBehavior.ACCEPT,
                ApplicationProtocolNames.HTTP_2));
  }

  SslContext serverContext() {
    return serverContext;
  }

  SslContext clientContext() {
    return clientContext;
  }

  /** Returns when the certificate of this gateway expires. */
  Date expiry() {
    return expiry;
  }

  /** Returns the DNS names among the subject alternative names of a certificate. */
  static List<String> dnsNames(Certificate certificate) {
    List<String> names = new ArrayList<>();
    try {
      Collection<List<?>> all = ((X509Certificate) certificate).getSubjectAlternativeNames();
      for (List<?> name : all == null ? List.<List<?>>of() : all) {
        if (name.get(0).equals(DNS_NAME_TYPE)) {
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
      return BoundedFile.decodeUtf8(BoundedFile.read(file, MAX_FILE_BYTES));
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
        throw new UnusableFileException(file, "contains no certificate");
      }
      return certificates;
    } catch (CertificateException e) {
      throw new UnusableFileException(file, "is not a certificate in PEM: " + e.getMessage());
    }
  }

  /** Reads the private key and checks that it belongs to the certificate. */
  private static PrivateKey key(Path file, X509Certificate certificate)
      throws UnusableFileException {
    String text = text(file);
    int begin = text.indexOf("-----BEGIN " + PEM_KEY + "-----");
    int end = text.indexOf("-----END " + PEM_KEY + "-----");
    if (begin < 0 || end < begin) {
      throw new UnusableFileException(
          file, "is not a private key in PEM (PKCS #8 without a password)");
    }
    try {
      String body = text.substring(text.indexOf('\n', begin), end);
      byte[] bytes = Base64.getMimeDecoder().decode(body);
      String algorithm = certificate.getPublicKey().getAlgorithm();
      PrivateKey key =
          KeyFactory.getInstance(algorithm).generatePrivate(new PKCS8EncodedKeySpec(bytes));
      String signatureAlgorithm =
          algorithm.equals("EC") ? "SHA256withECDSA" : "SHA256with" + algorithm;
      Signature signature = Signature.getInstance(signatureAlgorithm);
      signature.initSign(key);
      signature.update(bytes);
      byte[] signatureBytes = signature.sign();
      signature.initVerify(certificate);
      signature.update(bytes);
      if (!signature.verify(signatureBytes)) {
        throw new UnusableFileException(file, "is not the key of the certificate");
      }
      return key;
    } catch (GeneralSecurityException | IllegalArgumentException e) {
      throw new UnusableFileException(
          file, "is not a key that fits the certificate: " + e.getMessage());
    }
  }
}
