import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A caller that sends one request on a new connection. */
final class Caller {
    private final String host;
    private final int port;
    private final Record record;

    Caller(String host, int port, Record record) {
        this.host = host;
        this.port = port;
        this.record = record;
    }

    /** Sends a streaming request and returns the status; 0 without a complete answer. */
    int send(String request) {
        return send(request, "/s/open/x", "");
    }

    /** Sends a streaming request with {@code headers}, each with its line end. */
    int send(String request, String path, String headers) {
        record.line("caller sends " + request);
        int status = exchange(request, path, headers);
        record.line("caller gets " + status + " for " + request);
        return status;
    }

    private int exchange(String request, String path, String headers) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(host, port), 1000);
            socket.setSoTimeout(7000);
            String text = "POST " + path + " HTTP/1.1\r\nHost: svc\r\n" + headers
                + "X-Attempt-Identifier: " + request
                + "\r\nX-Deadline-Remaining: 6000\r\nX-Model: m\r\nX-Token-Counts: 600,30\r\n"
                + "X-Prompt-Prefix: a1b2c3d4:40," + Integer.toHexString(request.hashCode())
                + ":560\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{}";
            socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
            InputStream input = new BufferedInputStream(socket.getInputStream());
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            input.transferTo(bytes);
            String answer = bytes.toString(StandardCharsets.US_ASCII);
            if (!answer.startsWith("HTTP/1.1 ")) return 0;
            int status = Integer.parseInt(answer.substring(9, 12));
            boolean isStream = answer.contains("text/event-stream");
            return isStream && !answer.endsWith("\r\n0\r\n\r\n") ? 0 : status;
        } catch (IOException e) {
            return 0;
        }
    }
}
