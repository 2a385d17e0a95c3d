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
 * Finds keys that no record has, before values are bound: a misspelt key would else show as another one that is
 * missing. Walks the file beside the types of the records.
 */
final class UnknownKeyCheck {
    private final String name;

    private UnknownKeyCheck(String name) {
        this.name = name;
    }

    /** Refuses the first unknown key, with its line and the nearest known one. */
    static void check(String name, JsonParser in, Class<?> type) throws IOException, SettingsException {
        if (in.nextToken() != null) {
            new UnknownKeyCheck(name).value(in, type, "");
        }
    }

    private void value(JsonParser in, Type type, String place) throws IOException, SettingsException {
        if (in.currentToken() == JsonToken.START_ARRAY) {
            Type element = type instanceof ParameterizedType p && p.getRawType() == List.class
                    ? p.getActualTypeArguments()[0]
                    : Object.class;
            for (int i = 0; in.nextToken() != JsonToken.END_ARRAY; i++) {
                value(in, element, place + "[" + i + "]");
            }
        } else if (in.currentToken() == JsonToken.START_OBJECT) {
            if (type instanceof Class<?> of && of.isRecord()) {
                object(in, of, place);
            } else {
                in.skipChildren();
            }
        }
    }

    private void object(JsonParser in, Class<?> of, String place) throws IOException, SettingsException {
        Map<String, Type> known = new LinkedHashMap<>();
        for (RecordComponent c : of.getRecordComponents()) {
            JsonProperty renamed = c.getAccessor().getAnnotation(JsonProperty.class);
            known.put(renamed == null ? c.getName() : renamed.value(), c.getGenericType());
        }
        while (in.nextToken() == JsonToken.FIELD_NAME) {
            String key = in.currentName();
            String path = place.isEmpty() ? key : place + "." + key;
            if (!known.containsKey(key)) {
                throw new SettingsException(
                        name + ":" + in.currentTokenLocation().getLineNr() + ": " + path
                                + ": unknown key, the nearest is " + nearest(key, known));
            }
            in.nextToken();
            value(in, known.get(key), path);
        }
    }

    private static String nearest(String key, Map<String, Type> known) {
        String best = "";
        int least = Integer.MAX_VALUE;
        for (String candidate : known.keySet()) {
            int distance = distance(key, candidate);
            if (distance < least) {
                least = distance;
                best = candidate;
            }
        }
        return best;
    }

    /** Edits between two words (Levenshtein). */
    static int distance(String a, String b) {
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
