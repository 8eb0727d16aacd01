package heathswitch.proxy.cli;

import com.fasterxml.jackson.jr.ob.JSON;
import heathswitch.proxy.admin.AdminServer;
import java.io.IOException;
import java.io.InputStream;
import java.net.HttpURLConnection;
import java.net.InetSocketAddress;
import java.net.URL;
import java.util.Map;

/** An HTTP client of the admin listener of a running balancer. */
final class AdminClient {
  private static final int TIMEOUT_MILLIS = 10_000;

  /** An answer of the listener; the body is its JSON object. */
  record Answer(int status, Map<String, Object> body) {}

  private final InetSocketAddress address;

  AdminClient(InetSocketAddress address) {
    this.address = address;
  }

  Answer get(String path) throws IOException {
    return call("GET", path);
  }

  Answer post(String path) throws IOException {
    return call("POST", path);
  }

  private Answer call(String method, String path) throws IOException {
    String host = address.getAddress().getHostAddress();
    URL url = new URL("http", host, address.getPort(), "/" + path);
    HttpURLConnection connection = (HttpURLConnection) url.openConnection();
    connection.setConnectTimeout(TIMEOUT_MILLIS);
    connection.setReadTimeout(TIMEOUT_MILLIS);
    connection.setRequestMethod(method);
    if (method.equals("POST")) {
      connection.setRequestProperty(AdminServer.INTENT_HEADER, "command line");
      connection.setDoOutput(true);
      connection.getOutputStream().close();
    }
    int status = connection.getResponseCode();
    try (InputStream in =
        status < 400 ? connection.getInputStream() : connection.getErrorStream()) {
      return new Answer(status, JSON.std.mapFrom(in));
    } finally {
      connection.disconnect();
    }
  }
}
