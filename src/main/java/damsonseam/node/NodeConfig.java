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
 * What a front node is told at its start and again at SIGHUP, read from the JSON file that {@code NODE_CONFIG}
 * names. Keys that are not known are skipped.
 *
 * @param name the node's name, the same after a restart
 * @param listen where callers connect
 * @param seed for random numbers, new with each start
 * @param maxSockets file descriptors that the process may hold
 * @param memoryMb memory beyond which the platform kills the process, in MB
 * @param coordinator where the changes of the list come from
 * @param knownUpdates the changes so far, by rising numbers
 * @param settings what the simulator tells an instance at its start
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
    /** Octets of the file at the most: it is read whole. */
    private static final int MAX_FILE_BYTES = 4 << 20;

    private static final int SEED_RADIX = 16;
    private static final int MIN_SOCKETS = 64;

    /** Reads the file; a fault is told in one line that names the file and the key. */
    public static NodeConfig read(Path file) throws SettingsException {
        try {
            if (Files.size(file) > MAX_FILE_BYTES) {
                throw new SettingsException(file + ": more than " + MAX_FILE_BYTES + " octets");
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
            throw new IllegalArgumentException("the key '" + key + "' is missing");
        }
        return value;
    }

    /** The paths that the wire writes for the same settings: plain lists joined, lists of others by place. */
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
                                throw new IllegalArgumentException("a member's phase is ready, draining or gone, not "
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
