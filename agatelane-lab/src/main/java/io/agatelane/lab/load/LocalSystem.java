package io.agatelane.lab.load;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Addresses, API keys and models of the running system that {@code scripts/local-up} writes to its JSON file. */
public record LocalSystem(
        List<String> routerUrls,
        List<String> apiKeys,
        List<String> engineUrls,
        List<String> bookingPaths,
        List<String> executionsUrls,
        List<String> models) {
    public LocalSystem {
        routerUrls = List.copyOf(routerUrls);
        apiKeys = List.copyOf(apiKeys);
        engineUrls = List.copyOf(engineUrls);
        bookingPaths = List.copyOf(bookingPaths);
        executionsUrls = List.copyOf(executionsUrls);
        models = List.copyOf(models);
    }

    /** Reads the file that {@code scripts/local-up} wrote. */
    public static LocalSystem read(Path file) {
        JsonNode node = JsonFiles.read(file);
        List<String> models = new ArrayList<>();
        node.path("models").forEach(model -> models.add(model.asText()));
        return new LocalSystem(
                fieldValues(node.path("routers"), "http"),
                fieldValues(node.path("clientAccounts"), "apiKey"),
                fieldValues(node.path("engines"), "http"),
                fieldValues(node.path("services"), "bookingPath"),
                fieldValues(node.path("services"), "executionsUrl"),
                models);
    }

    private static List<String> fieldValues(JsonNode array, String name) {
        List<String> values = new ArrayList<>();
        array.forEach(element -> values.add(element.path(name).asText()));
        return values;
    }
}
