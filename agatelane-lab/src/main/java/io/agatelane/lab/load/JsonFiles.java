package io.agatelane.lab.load;

import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.agatelane.lab.http.BadRequestException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Reads JSON files, in which comments and trailing commas are allowed. */
public final class JsonFiles {
    private static final JsonMapper MAPPER = JsonMapper.builder()
            .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
            .enable(JsonReadFeature.ALLOW_TRAILING_COMMA)
            .build();

    private JsonFiles() {}

    /**
     * Reads a file.
     *
     * @throws BadRequestException when the file cannot be read or is not JSON
     */
    public static JsonNode read(Path file) {
        try {
            return MAPPER.readTree(Files.readAllBytes(file));
        } catch (IOException e) {
            throw new BadRequestException(file + ": " + e.getMessage());
        }
    }

    static JsonMapper mapper() {
        return MAPPER;
    }
}
