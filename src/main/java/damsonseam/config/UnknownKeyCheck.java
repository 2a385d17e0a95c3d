package damsonseam.config;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.lang.reflect.ParameterizedType;
import java.lang.reflect.RecordComponent;
import java.lang.reflect.Type;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Finds unknown keys in a YAML file before its values are bound; otherwise a misspelt key would be reported as a
 * missing one. Walks the parsed file and the component types of the records in parallel.
 */
final class UnknownKeyCheck {
    private final String fileName;

    private UnknownKeyCheck(String name) {
        this.fileName = name;
    }

    /** Throws for the first unknown key, naming its line and the most similar known key. */
    static void check(String name, JsonParser parser, Class<?> type) throws IOException, SettingsException {
        if (parser.nextToken() != null) {
            new UnknownKeyCheck(name).checkValue(parser, type, "");
        }
    }

    private void checkValue(JsonParser parser, Type type, String path) throws IOException, SettingsException {
        if (parser.currentToken() == JsonToken.START_ARRAY) {
            Type element = type instanceof ParameterizedType p && p.getRawType() == List.class
                    ? p.getActualTypeArguments()[0]
                    : Object.class;
            for (int i = 0; parser.nextToken() != JsonToken.END_ARRAY; i++) {
                checkValue(parser, element, path + "[" + i + "]");
            }
        } else if (parser.currentToken() == JsonToken.START_OBJECT) {
            if (type instanceof Class<?> recordType && recordType.isRecord()) {
                checkObject(parser, recordType, path);
            } else {
                parser.skipChildren();
            }
        }
    }

    private void checkObject(JsonParser parser, Class<?> recordType, String path)
            throws IOException, SettingsException {
        Map<String, Type> typesByKey = new LinkedHashMap<>();
        for (RecordComponent component : recordType.getRecordComponents()) {
            JsonProperty annotation = component.getAccessor().getAnnotation(JsonProperty.class);
            typesByKey.put(annotation == null ? component.getName() : annotation.value(), component.getGenericType());
        }
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            String key = parser.currentName();
            String keyPath = path.isEmpty() ? key : path + "." + key;
            if (!typesByKey.containsKey(key)) {
                throw new SettingsException(
                        fileName + ":" + parser.currentTokenLocation().getLineNr() + ": " + keyPath
                                + ": unknown key, the nearest is " + closest(key, typesByKey));
            }
            parser.nextToken();
            checkValue(parser, typesByKey.get(key), keyPath);
        }
    }

    private static String closest(String key, Map<String, Type> typesByKey) {
        String closest = "";
        int minDistance = Integer.MAX_VALUE;
        for (String candidate : typesByKey.keySet()) {
            int distance = editDistance(key, candidate);
            if (distance < minDistance) {
                minDistance = distance;
                closest = candidate;
            }
        }
        return closest;
    }

    /** Returns the Levenshtein distance of two words. */
    static int editDistance(String a, String b) {
        int[] row = new int[b.length() + 1];
        for (int j = 0; j <= b.length(); j++) {
            row[j] = j;
        }
        for (int i = 1; i <= a.length(); i++) {
            int diagonal = row[0];
            row[0] = i;
            for (int j = 1; j <= b.length(); j++) {
                int replace = diagonal + (a.charAt(i - 1) == b.charAt(j - 1) ? 0 : 1);
                diagonal = row[j];
                row[j] = Math.min(replace, Math.min(row[j], row[j - 1]) + 1);
            }
        }
        return row[b.length()];
    }
}
