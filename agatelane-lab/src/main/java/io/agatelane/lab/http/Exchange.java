package io.agatelane.lab.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.EOFException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.Fields;

/** An HTTP request with its whole body, and the methods that send its response. */
public final class Exchange {
    /** JSON mapper that all lab code shares. */
    public static final ObjectMapper MAPPER = new ObjectMapper();

    private final Request request;
    private final Response response;
    private final Callback callback;
    private final byte[] body;

    Exchange(Request request, Response response, Callback callback, byte[] body) {
        this.request = request;
        this.response = response;
        this.callback = callback;
        this.body = body;
    }

    public String method() {
        return request.getMethod();
    }

    public String path() {
        return request.getHttpURI().getDecodedPath();
    }

    /** Returns a request header; empty when it is missing. */
    public String header(String name) {
        String value = request.getHeaders().get(name);
        return value == null ? "" : value;
    }

    /** Returns a query parameter, or the fallback when it is missing. */
    public String query(String name, String fallback) {
        Fields.Field field = Request.extractQueryParameters(request).get(name);
        return field == null ? fallback : field.getValue();
    }

    /** Returns all request headers as one JSON object. */
    public ObjectNode headers() {
        ObjectNode node = JsonNodeFactory.instance.objectNode();
        for (HttpField field : request.getHeaders()) {
            node.put(field.getName(), field.getValue());
        }
        return node;
    }

    public byte[] body() {
        return body;
    }

    /**
     * Parses the body; an empty body is an empty object.
     *
     * @throws BadRequestException when the body is not a JSON object
     */
    public ObjectNode json() {
        if (body.length == 0) {
            return JsonNodeFactory.instance.objectNode();
        }
        try {
            JsonNode node = MAPPER.readTree(body);
            if (node instanceof ObjectNode object) {
                return object;
            }
        } catch (JsonProcessingException e) {
            throw new BadRequestException("the body is not JSON: " + e.getOriginalMessage());
        } catch (IOException e) {
            throw new BadRequestException("the body cannot be read: " + e.getMessage());
        }
        throw new BadRequestException("the body is not a JSON object");
    }

    /** Sets a response header. */
    public Exchange withHeader(String name, String value) {
        response.getHeaders().put(name, value);
        return this;
    }

    /** Sends a JSON response. */
    public void respond(int status, JsonNode node) {
        respond(status, "application/json", node.toString().getBytes(StandardCharsets.UTF_8));
    }

    /** Sends a whole response. */
    public void respond(int status, String contentType, byte[] content) {
        response.setStatus(status);
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, contentType);
        response.getHeaders().put(HttpHeader.CONTENT_LENGTH, content.length);
        response.write(true, ByteBuffer.wrap(content), callback);
    }

    /** Sends an error response {@code {"error":{"type":...,"message":...}}}. */
    public void respondError(int status, String type, String message) {
        ObjectNode node = JsonNodeFactory.instance.objectNode();
        node.putObject("error").put("type", type).put("message", message);
        respond(status, node);
    }

    /** Starts a streamed response. */
    public StreamWriter stream(int status, String contentType) {
        response.setStatus(status);
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, contentType);
        response.getHeaders().put(HttpHeader.CACHE_CONTROL, "no-store");
        return new StreamWriter(response, callback, this::close);
    }

    /** Closes the connection without a response. */
    public void close() {
        request.getConnectionMetaData().getConnection().getEndPoint().close();
        callback.failed(new EOFException("a fault control closed the connection"));
    }
}
