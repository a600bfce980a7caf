import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;

/** What the cases share. */
final class Cases {
    private Cases() {}

    static Thread daemonThread(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        return thread;
    }

    static Map<String, String> query(HttpExchange exchange) {
        Map<String, String> values = new HashMap<>();
        String text = exchange.getRequestURI().getQuery();
        if (text == null) return values;
        for (String part : text.split("&")) {
            int equals = part.indexOf('=');
            if (equals > 0) values.put(part.substring(0, equals), part.substring(equals + 1));
        }
        return values;
    }

    static void respond(HttpExchange exchange, int status, String body, String... headers)
        throws IOException {
        respond(exchange, status, body.getBytes(StandardCharsets.UTF_8), headers);
    }

    static void respond(HttpExchange exchange, int status, byte[] body, String... headers)
        throws IOException {
        for (int i = 0; i < headers.length; i += 2) {
            exchange.getResponseHeaders().set(headers[i], headers[i + 1]);
        }
        exchange.sendResponseHeaders(status, body.length == 0 ? -1 : body.length);
        if (body.length > 0) exchange.getResponseBody().write(body);
        exchange.close();
    }

    /** First of [count] addresses 127.x.0.n on which all of [ports] are free. */
    static String freeSubnet(int count, int... ports) throws IOException {
        int start = (int) (ProcessHandle.current().pid() % 200);
        for (int i = 0; i < 200; i++) {
            String subnet = "127." + (20 + (start + i) % 200) + ".0.";
            boolean isFree = true;
            for (int host = 1; host <= count && isFree; host++) {
                for (int port : ports) isFree = isFree && isFree(subnet + host, port);
            }
            if (isFree) return subnet;
        }
        throw new IOException("no free loopback addresses");
    }

    private static boolean isFree(String host, int port) {
        try (ServerSocket socket = new ServerSocket()) {
            socket.bind(new InetSocketAddress(host, port));
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    static int get(String host, int port, String path, int timeoutMillis) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(host, port), timeoutMillis);
            socket.setSoTimeout(timeoutMillis);
            socket.getOutputStream().write(("GET " + path + " HTTP/1.1\r\nHost: " + host
                + "\r\nConnection: close\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
            byte[] head = socket.getInputStream().readNBytes(12);
            return Integer.parseInt(new String(head, StandardCharsets.US_ASCII).substring(9, 12));
        } catch (IOException | RuntimeException e) {
            return 0;
        }
    }

    static boolean isTroubled() {
        return !"0".equals(System.getenv("TROUBLE"));
    }

    static void write(Path file, String text) throws IOException {
        Files.writeString(file, text);
    }
}
