package io.agatelane.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.protobuf.Descriptors.FieldDescriptor;
import com.google.protobuf.Message;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.StreamSupport;

/** Prints messages as a table: one line each, with a column for each field. */
final class Tables {
    private Tables() {}

    static void print(PrintStream out, List<? extends Message> messages) {
        List<Map<String, String>> rows = new ArrayList<>();
        Map<String, Integer> widths = new LinkedHashMap<>();
        for (Message message : messages) {
            Map<String, String> row = new LinkedHashMap<>();
            addCells(message, row);
            row.forEach((column, cell) -> widths.merge(column, Math.max(column.length(), cell.length()), Math::max));
            rows.add(row);
        }
        if (rows.isEmpty()) {
            out.println("(none)");
            return;
        }
        Map<String, String> header = new LinkedHashMap<>();
        widths.keySet().forEach(column -> header.put(column, column));
        printRow(out, header, widths);
        rows.forEach(row -> printRow(out, row, widths));
    }

    private static void addCells(Message message, Map<String, String> row) {
        for (FieldDescriptor field : message.getDescriptorForType().getFields()) {
            boolean spec = field.getContainingOneof() != null;
            if (spec && message.hasField(field)) {
                addCells((Message) message.getField(field), row);
            } else if (!spec) {
                row.put(field.getName().toUpperCase(Locale.ROOT), cell(field, message.getField(field)));
            }
        }
    }

    private static String cell(FieldDescriptor field, Object value) {
        if (field.getJavaType() == FieldDescriptor.JavaType.DOUBLE && !field.isRepeated()) {
            return String.format(Locale.ROOT, "%.2f", (Double) value);
        }
        JsonNode node = ProtoJson.toJson(field, value);
        String text = node.isArray()
                ? StreamSupport.stream(node.spliterator(), false)
                        .map(Tables::text)
                        .collect(Collectors.joining(","))
                : text(node);
        return text.isEmpty() ? "-" : text;
    }

    private static String text(JsonNode node) {
        return node.isValueNode() ? node.asText() : node.toString();
    }

    private static void printRow(PrintStream out, Map<String, String> row, Map<String, Integer> widths) {
        StringBuilder line = new StringBuilder();
        widths.forEach((column, width) -> {
            String cell = row.getOrDefault(column, "-");
            line.append(cell).append(" ".repeat(width - cell.length() + 2));
        });
        out.println(line.toString().stripTrailing());
    }
}
