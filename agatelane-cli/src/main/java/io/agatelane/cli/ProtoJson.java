package io.agatelane.cli;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.protobuf.ByteString;
import com.google.protobuf.Descriptors.EnumValueDescriptor;
import com.google.protobuf.Descriptors.FieldDescriptor;
import com.google.protobuf.Message;
import java.math.BigDecimal;
import java.util.Base64;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

/**
 * The protobuf JSON mapping for the messages of the operators' schema. Fields have lowerCamelCase names, the names of
 * the schema are accepted too; 64-bit integers are strings, numbers are accepted too; default values are left out.
 */
final class ProtoJson {
    private static final JsonMapper MAPPER = JsonMapper.builder()
            .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
            .enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION)
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .build();

    private ProtoJson() {}

    /** Parses JSON text. */
    static JsonNode parse(String file, String text) {
        try {
            return MAPPER.readTree(text);
        } catch (JsonProcessingException e) {
            throw new CliException(
                    ExitCode.BAD_USAGE,
                    file + ": expected JSON: " + e.getOriginalMessage() + " at line "
                            + e.getLocation().getLineNr());
        }
    }

    /** Sets the fields of a message; an error names the file and the JSON pointer of the value. */
    static void merge(JsonNode node, Message.Builder builder, String file, String pointer) {
        if (!node.isObject()) {
            throw fault(file, pointer, "expected an object");
        }
        Iterator<Map.Entry<String, JsonNode>> fields = node.fields();
        while (fields.hasNext()) {
            Map.Entry<String, JsonNode> entry = fields.next();
            String valuePointer = pointer + "/" + entry.getKey();
            FieldDescriptor field = field(builder, entry.getKey(), file, valuePointer);
            if (entry.getValue().isNull()) {
                continue;
            }
            if (field.getContainingOneof() != null && builder.hasOneof(field.getContainingOneof())) {
                throw fault(file, valuePointer, "expected only one of the object's specs");
            }
            if (field.isRepeated()) {
                if (!entry.getValue().isArray()) {
                    throw fault(file, valuePointer, "expected an array");
                }
                int index = 0;
                for (JsonNode element : entry.getValue()) {
                    builder.addRepeatedField(field, value(element, field, builder, file, valuePointer + "/" + index++));
                }
            } else {
                builder.setField(field, value(entry.getValue(), field, builder, file, valuePointer));
            }
        }
    }

    /** Writes a message as indented JSON. */
    static String print(Message message) {
        return toJson(message).toPrettyString();
    }

    static ObjectNode toJson(Message message) {
        ObjectNode node = JsonNodeFactory.instance.objectNode();
        for (FieldDescriptor field : message.getDescriptorForType().getFields()) {
            if (field.isRepeated() ? message.getRepeatedFieldCount(field) > 0 : message.hasField(field)) {
                node.set(field.getJsonName(), toJson(field, message.getField(field)));
            }
        }
        return node;
    }

    static JsonNode toJson(FieldDescriptor field, Object value) {
        if (field.isRepeated()) {
            ArrayNode array = JsonNodeFactory.instance.arrayNode();
            ((List<?>) value).forEach(element -> array.add(scalarToJson(field, element)));
            return array;
        }
        return scalarToJson(field, value);
    }

    private static JsonNode scalarToJson(FieldDescriptor field, Object value) {
        JsonNodeFactory nodes = JsonNodeFactory.instance;
        return switch (field.getJavaType()) {
            case INT -> nodes.numberNode((Integer) value);
            case LONG -> nodes.textNode(value.toString());
            case FLOAT -> nodes.numberNode((Float) value);
            case DOUBLE -> nodes.numberNode((Double) value);
            case BOOLEAN -> nodes.booleanNode((Boolean) value);
            case STRING -> nodes.textNode((String) value);
            case BYTE_STRING -> nodes.textNode(Base64.getEncoder().encodeToString(((ByteString) value).toByteArray()));
            case ENUM -> nodes.textNode(((EnumValueDescriptor) value).getName());
            case MESSAGE -> toJson((Message) value);
        };
    }

    private static FieldDescriptor field(Message.Builder builder, String name, String file, String valuePointer) {
        for (FieldDescriptor field : builder.getDescriptorForType().getFields()) {
            if (field.getJsonName().equals(name) || field.getName().equals(name)) {
                return field;
            }
        }
        List<String> known = builder.getDescriptorForType().getFields().stream()
                .map(FieldDescriptor::getJsonName)
                .toList();
        throw fault(file, valuePointer, "unknown field, expected one of " + known);
    }

    private static Object value(
            JsonNode node, FieldDescriptor field, Message.Builder parent, String file, String valuePointer) {
        return switch (field.getJavaType()) {
            case INT -> (int) integer(node, Integer.MIN_VALUE, Integer.MAX_VALUE, file, valuePointer);
            case LONG -> integer(node, Long.MIN_VALUE, Long.MAX_VALUE, file, valuePointer);
            case DOUBLE -> number(node, file, valuePointer).doubleValue();
            case FLOAT -> number(node, file, valuePointer).floatValue();
            case BOOLEAN -> {
                if (!node.isBoolean()) {
                    throw fault(file, valuePointer, "expected true or false");
                }
                yield node.asBoolean();
            }
            case STRING -> text(node, file, valuePointer);
            case BYTE_STRING -> {
                try {
                    yield ByteString.copyFrom(Base64.getDecoder().decode(text(node, file, valuePointer)));
                } catch (IllegalArgumentException e) {
                    throw fault(file, valuePointer, "expected base64");
                }
            }
            case ENUM -> {
                EnumValueDescriptor constant = field.getEnumType().findValueByName(text(node, file, valuePointer));
                if (constant == null) {
                    throw fault(
                            file,
                            valuePointer,
                            "expected one of " + field.getEnumType().getValues());
                }
                yield constant;
            }
            case MESSAGE -> {
                Message.Builder child = parent.newBuilderForField(field);
                merge(node, child, file, valuePointer);
                yield child.build();
            }
        };
    }

    private static long integer(JsonNode node, long min, long max, String file, String valuePointer) {
        try {
            long value = number(node, file, valuePointer).longValueExact();
            if (value >= min && value <= max) {
                return value;
            }
        } catch (ArithmeticException e) {
            // Reported below like a number out of range.
        }
        throw fault(file, valuePointer, "expected an integer from " + min + " to " + max);
    }

    private static BigDecimal number(JsonNode node, String file, String valuePointer) {
        try {
            if (node.isNumber() || node.isTextual()) {
                return new BigDecimal(node.asText());
            }
        } catch (NumberFormatException e) {
            // Reported below like any other value that is not a number.
        }
        throw fault(file, valuePointer, "expected a number");
    }

    private static String text(JsonNode node, String file, String valuePointer) {
        if (!node.isTextual()) {
            throw fault(file, valuePointer, "expected a string");
        }
        return node.asText();
    }

    private static CliException fault(String file, String pointer, String expected) {
        return new CliException(
                ExitCode.BAD_USAGE, file + ": " + (pointer.isEmpty() ? "/" : pointer) + ": " + expected);
    }
}
