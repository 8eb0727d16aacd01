package heathswitch.proxy.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import heathswitch.testbed.client.HttpLoadGenerator;
import heathswitch.testbed.client.LoadStats;
import heathswitch.testbed.client.RequestKind;
import heathswitch.testbed.site.CertificateAuthority;
import io.netty.handler.ssl.JdkSslContext;
import io.netty.handler.ssl.SslContextBuilder;
import io.netty.handler.ssl.SslProvider;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import javax.net.ssl.SSLContext;
import javax.net.ssl.SSLServerSocket;
import javax.net.ssl.SSLSocket;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import testing.Await;

/** Which peers are accepted, and what happens to links when certificates are replaced. */
@Timeout(120)
class MutualTlsTest {
  private static SSLContext clientContext(Path folder, String file, Path authority)
      throws Exception {
    return ((JdkSslContext)
            SslContextBuilder.forClient()
                .sslProvider(SslProvider.JDK)
                .keyManager(
                    folder.resolve(file + ".pem").toFile(), folder.resolve(file + ".key").toFile())
                .trustManager(authority.toFile())
                .build())
        .context();
  }

  /** Whether a gateway accepts a client: it then sends its SETTINGS. */
  private static boolean accepts(SitesFixture.Site site, SSLContext client, String... protocols)
      throws IOException {
    try (SSLSocket socket =
        (SSLSocket)
            client
                .getSocketFactory()
                .createSocket(InetAddress.getLoopbackAddress(), site.listen().getPort())) {
      socket.setSoTimeout(20_000);
      if (protocols.length > 0) {
        socket.setEnabledProtocols(protocols);
      }
      return socket.getInputStream().read() >= 0;
    } catch (IOException e) {
      return false;
    }
  }

  @Test
  void acceptsOnlyPeerSitesWithAValidCertificateOfTheAuthority() throws Exception {
    try (SitesFixture sites =
        new SitesFixture().site("hat-yai", 1, 1, 10).site("bangkok", 1, 1, 10).startLinked(true)) {
      SitesFixture.Site home = sites.site("hat-yai");
      Path folder = sites.folder();
      CertificateAuthority authority = sites.authority();
      CertificateAuthority otherAuthority = new CertificateAuthority(folder, "other");
      authority.issue("good", "bangkok");
      authority.issue("stranger", "udon");
      authority.issueExpired("expired", "bangkok");
      otherAuthority.issue("foreign", "bangkok");
      assertTrue(accepts(home, clientContext(folder, "good", authority.certificateFile())));
      assertFalse(
          accepts(home, clientContext(folder, "stranger", authority.certificateFile())),
          "not a peer site");
      assertFalse(
          accepts(home, clientContext(folder, "expired", authority.certificateFile())), "expired");
      assertFalse(
          accepts(home, clientContext(folder, "foreign", authority.certificateFile())),
          "other authority");
      assertFalse(
          accepts(home, clientContext(folder, "good", authority.certificateFile()), "TLSv1.2"),
          "TLS 1.2");
      SSLContext anonymous =
          ((JdkSslContext)
                  SslContextBuilder.forClient()
                      .sslProvider(SslProvider.JDK)
                      .trustManager(authority.certificateFile().toFile())
                      .build())
              .context();
      assertFalse(accepts(home, anonymous), "no certificate");
    }
  }

  /** The listener at the address of a peer has a valid certificate, but of another site. */
  @Test
  void linkIsNotEstablishedToAPeerOfAnUnexpectedSite() throws Exception {
    try (SitesFixture sites =
        new SitesFixture().site("hat-yai", 1, 1, 10).site("bangkok", 1, 1, 10)) {
      Path folder = sites.folder();
      CertificateAuthority authority = sites.authority();
      authority.issue("udon", "udon");
      SSLContext udon =
          ((JdkSslContext)
                  SslContextBuilder.forServer(
                          folder.resolve("udon.pem").toFile(), folder.resolve("udon.key").toFile())
                      .sslProvider(SslProvider.JDK)
                      .trustManager(authority.certificateFile().toFile())
                      .build())
              .context();
      SitesFixture.Site home = sites.site("hat-yai");
      try (SSLServerSocket listener =
          (SSLServerSocket)
              udon.getServerSocketFactory()
                  .createServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
        sites.site("bangkok").replacement = (InetSocketAddress) listener.getLocalSocketAddress();
        Thread thread =
            new Thread(
                () -> {
                  while (!listener.isClosed()) {
                    try (SSLSocket socket = (SSLSocket) listener.accept()) {
                      socket.getInputStream().read();
                    } catch (IOException e) {
                      // Accept the next connection.
                    }
                  }
                });
        thread.setDaemon(true);
        thread.start();
        home.start(true);
        Await.until(
            "several attempts to connect",
            () -> ((Number) home.links().get(0).get("breaks")).intValue() >= 3);
        assertNotEquals("up", home.links().get(0).get("state"));
      }
    }
  }

  @Test
  void certificateIsReplacedWithoutLosingCalls() throws Exception {
    try (SitesFixture sites =
        new SitesFixture().site("hat-yai", 1, 1, 200).site("bangkok", 4, 8, 20).startLinked(true)) {
      SitesFixture.Site home = sites.site("hat-yai");
      HttpLoadGenerator load = home.load(50, 3000, RequestKind.safe("view", "school", 1));
      Await.until("calls are forwarded", () -> home.sum("bangkok", "served") > 5);
      Object before = home.status().get("certificate_until");
      Path pem = sites.folder().resolve("hat-yai.pem");
      String good = Files.readString(pem);
      Files.writeString(pem, good.substring(0, good.length() / 2));
      Thread.sleep(1500); // Several polls; the absence of a change raises no event.
      assertEquals(before, home.status().get("certificate_until"));
      sites.authority().issue("hat-yai", "hat-yai", 2);
      Await.until(
          "new certificate is used", () -> !before.equals(home.status().get("certificate_until")));
      long served = home.sum("bangkok", "served");
      Await.until("calls are still forwarded", () -> home.sum("bangkok", "served") > served + 10);
      assertEquals("up", home.links().get(0).get("state"));
      load.stop();
      assertEquals(0, load.stats().count(LoadStats.Result.LOST));
      assertEquals(0, load.stats().count(LoadStats.Result.FAILED));
      assertEquals(0, home.sum("bangkok", "failed"));
    }
  }
}
