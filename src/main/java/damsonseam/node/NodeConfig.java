package damsonseam.node;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import damsonseam.RoutingPolicy.ServerState;
import damsonseam.config.Endpoint;
import damsonseam.config.SettingsException;
import damsonseam.settings.PlatformSettings;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The configuration of a front node, read at the start and again at SIGHUP from the JSON file that
 * {@code NODE_CONFIG} names. Unknown keys are ignored.
 *
 * @param name the node's name, the same after a restart
 * @param listen address on which callers connect
 * @param seed seed for random numbers, different at each start
 * @param maxSockets limit of the process's file descriptors
 * @param memoryMb memory limit in MB beyond which the platform kills the process; 0 if unknown
 * @param coordinator address of the coordinator, which sends the server-list updates
 * @param knownUpdates the server-list updates so far, in ascending order of their numbers
 * @param settings the platform's settings
 */
public record NodeConfig(
        String name,
        Endpoint listen,
        long seed,
        int maxSockets,
        int memoryMb,
        Endpoint coordinator,
        List<ServerListUpdate> knownUpdates,
        PlatformSettings settings) {
    /** Size limit of the file, which is read whole. */
    private static final int MAX_FILE_BYTES = 4 << 20;

    private static final int SEED_RADIX = 16;
    private static final int MIN_SOCKETS = 64;

    /** Reads the file; the message of an exception is one line that names the file and the key. */
    public static NodeConfig read(Path file) throws SettingsException {
        try {
            if (Files.size(file) > MAX_FILE_BYTES) {
                throw new SettingsException(file + ": larger than " + MAX_FILE_BYTES + " bytes");
            }
            return fromJson(new ObjectMapper().readTree(Files.readAllBytes(file)));
        } catch (IOException | IllegalArgumentException e) {
            throw new SettingsException(file + ": "
                    + String.valueOf(e.getMessage()).lines().findFirst().orElse(""));
        }
    }

    static NodeConfig fromJson(JsonNode root) {
        JsonNode limits = root.path("limits");
        Map<String, String> paths = new HashMap<>();
        flatten("", require(root, "settings"), paths);
        return new NodeConfig(
                root.path("name").asText("node"),
                Endpoint.parse(require(root, "listen").asText()),
                Long.parseUnsignedLong(require(root, "seed").asText(), SEED_RADIX),
                Math.max(MIN_SOCKETS, limits.path("sockets").asInt(MIN_SOCKETS)),
                limits.path("memory_mb").asInt(0),
                Endpoint.parse(require(root, "coordinator").asText()),
                parseUpdates(root.path("known").path("updates")),
                new PlatformSettings(
                        paths, expected -> new IllegalArgumentException("settings: expected " + expected)));
    }

    private static JsonNode require(JsonNode root, String key) {
        JsonNode value = root.path(key);
        if (value.isMissingNode() || value.isNull()) {
            throw new IllegalArgumentException("missing key '" + key + "'");
        }
        return value;
    }

    /**
     * Flattens the settings to paths as the simulator writes them: arrays of scalars are joined with commas, elements
     * of other arrays are numbered.
     */
    private static void flatten(String path, JsonNode node, Map<String, String> paths) {
        if (node.isObject()) {
            node.fields()
                    .forEachRemaining(entry -> flatten(
                            path.isEmpty() ? entry.getKey() : path + "." + entry.getKey(), entry.getValue(), paths));
        } else if (node.isArray() && node.size() > 0 && node.get(0).isContainerNode()) {
            paths.put(path + ".count", Integer.toString(node.size()));
            for (int i = 0; i < node.size(); i++) {
                flatten(path + "." + i, node.get(i), paths);
            }
        } else if (node.isArray()) {
            List<String> values = new ArrayList<>();
            node.forEach(v -> values.add(v.asText()));
            paths.put(path, String.join(",", values));
        } else if (!node.isNull()) {
            paths.put(path, node.asText());
        }
    }

    private static List<ServerListUpdate> parseUpdates(JsonNode updates) {
        List<ServerListUpdate> serverListUpdates = new ArrayList<>();
        for (JsonNode update : updates) {
            JsonNode endpoints = require(update, "endpoints");
            List<ServerListUpdate.Entry> entries = new ArrayList<>();
            for (JsonNode member : endpoints.path("members")) {
                ServerState state =
                        switch (require(member, "phase").asText()) {
                            case "ready" -> ServerState.RUNNING;
                            case "draining" -> ServerState.DRAINING;
                            case "gone" -> ServerState.GONE;
                            default ->
                                throw new IllegalArgumentException("expected phase ready, draining or gone, not "
                                        + member.path("phase").asText());
                        };
                entries.add(new ServerListUpdate.Entry(
                        require(member, "id").asText(),
                        member.path("host_port").asText(""),
                        member.path("cell").asInt(-1),
                        state,
                        member.path("up_since_ms").asLong(0)));
            }
            serverListUpdates.add(new ServerListUpdate(
                    require(update, "index").asLong(),
                    endpoints.path("complete").asBoolean(),
                    entries));
        }
        return serverListUpdates;
    }
}
