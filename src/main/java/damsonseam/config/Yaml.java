package damsonseam.config;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Collectors;

/** Reads YAML files into records and reports faults as one-line errors. */
public final class Yaml {
    private static final long MAX_FILE_BYTES = 4 << 20;
    private static final ObjectMapper MAPPER = new YAMLMapper(new YAMLFactory())
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .enable(DeserializationFeature.FAIL_ON_READING_DUP_TREE_KEY)
            .enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION);

    private Yaml() {}

    /**
     * Reads a file.
     *
     * @throws SettingsException if the file is invalid; its one-line message names file, line, key and expected value
     */
    public static <T> T read(Path file, Class<T> type) throws SettingsException {
        try {
            if (Files.size(file) > MAX_FILE_BYTES) {
                throw new SettingsException(file + ": larger than " + MAX_FILE_BYTES + " bytes");
            }
            return parse(file.toString(), Files.readString(file, StandardCharsets.UTF_8), type);
        } catch (IOException e) {
            throw new SettingsException(file + ": cannot be read: " + e.getMessage());
        }
    }

    /** Parses a text; {@code name} names it in error messages. */
    public static <T> T parse(String name, String text, Class<T> type) throws SettingsException {
        try {
            try (JsonParser parser = MAPPER.createParser(text)) {
                UnknownKeyCheck.check(name, parser, type);
            }
            T value = MAPPER.readValue(text, type);
            if (value == null) {
                throw new SettingsException(name + ":1: the file is empty");
            }
            return value;
        } catch (JsonProcessingException e) {
            JsonLocation location = e.getLocation();
            String line = location == null ? "" : ":" + location.getLineNr();
            throw new SettingsException(name + line + ": " + keyPath(e) + description(e));
        } catch (IOException e) {
            throw new SettingsException(name + ": " + e.getMessage());
        }
    }

    private static String keyPath(JsonProcessingException e) {
        if (!(e instanceof JsonMappingException mapping) || mapping.getPath().isEmpty()) {
            return "";
        }
        return mapping.getPath().stream()
                        .map(reference -> reference.getFieldName() == null
                                ? "[" + reference.getIndex() + "]"
                                : "." + reference.getFieldName())
                        .collect(Collectors.joining())
                        .replaceFirst("^\\.", "")
                + ": ";
    }

    private static String description(JsonProcessingException e) {
        Throwable cause = e.getCause();
        if (cause instanceof IllegalArgumentException) {
            return cause.getMessage();
        }
        String message = e.getOriginalMessage();
        int lineEnd = message.indexOf('\n');
        return lineEnd < 0 ? message : message.substring(0, lineEnd);
    }
}
