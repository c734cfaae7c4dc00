import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Reads and writes HTTP/1.1 messages; only what the stand-ins need. */
final class Http {
    /** A request or a response; header names are in lower case. */
    record Message(String startLine, Map<String, String> headers, byte[] body) {
        String method() {
            return startLine.split(" ")[0];
        }

        String target() {
            return startLine.split(" ")[1];
        }

        int status() {
            return Integer.parseInt(startLine.split(" ")[1]);
        }

        String header(String name) {
            return headers.get(name.toLowerCase(Locale.ROOT));
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    private Http() {}

    static InputStream buffered(InputStream in) {
        return new BufferedInputStream(in, 16_384);
    }

    /** Reads a request; returns null at a regular end of the connection. */
    static Message readRequest(InputStream in) throws IOException {
        String start = line(in);
        if (start == null) {
            return null;
        }
        Map<String, String> headers = headers(in);
        return new Message(start, headers, body(in, headers, false));
    }

    /** Reads a response with its whole body; an early end is an EOFException. */
    static Message readResponse(InputStream in) throws IOException {
        String start = line(in);
        if (start == null) {
            throw new EOFException("closed before a response");
        }
        Map<String, String> headers = headers(in);
        return new Message(start, headers, body(in, headers, true));
    }

    private static Map<String, String> headers(InputStream in) throws IOException {
        Map<String, String> headers = new LinkedHashMap<>();
        for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).trim().toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
        }
        return headers;
    }

    private static byte[] body(InputStream in, Map<String, String> headers, boolean isResponse) throws IOException {
        if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            while (true) {
                String size = line(in);
                if (size == null) {
                    throw new EOFException("closed between chunks");
                }
                int bytes = Integer.parseInt(size.split(";")[0].trim(), 16);
                if (bytes == 0) {
                    while (true) {
                        String trailer = line(in);
                        if (trailer == null || trailer.isEmpty()) {
                            return out.toByteArray();
                        }
                    }
                }
                out.write(exactly(in, bytes));
                line(in);
            }
        }
        String length = headers.get("content-length");
        if (length != null) {
            return exactly(in, Integer.parseInt(length));
        }
        return isResponse ? in.readAllBytes() : new byte[0];
    }

    private static byte[] exactly(InputStream in, int bytes) throws IOException {
        byte[] read = in.readNBytes(bytes);
        if (read.length < bytes) {
            throw new EOFException("closed after " + read.length + " of " + bytes + " bytes");
        }
        return read;
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        for (int b = in.read(); b >= 0; b = in.read()) {
            if (b == '\n') {
                String text = out.toString(StandardCharsets.ISO_8859_1);
                return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
            }
            out.write(b);
        }
        if (out.size() > 0) {
            throw new EOFException("closed inside a line");
        }
        return null;
    }

    static byte[] response(int status, Map<String, String> headers, byte[] body) {
        StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " " + reason(status) + "\r\n");
        headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
        byte[] start = head.toString().getBytes(StandardCharsets.ISO_8859_1);
        byte[] all = new byte[start.length + body.length];
        System.arraycopy(start, 0, all, 0, start.length);
        System.arraycopy(body, 0, all, start.length, body.length);
        return all;
    }

    private static String reason(int status) {
        return switch (status) {
            case 200 -> "OK";
            case 202 -> "Accepted";
            case 404 -> "Not Found";
            case 409 -> "Conflict";
            case 412 -> "Precondition Failed";
            case 421 -> "Misdirected Request";
            case 429 -> "Too Many Requests";
            case 503 -> "Service Unavailable";
            default -> "Status";
        };
    }
}
