package damsonseam.audit;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** Audits a folder that a run left: {@code world.json} and {@code wire/*.jsonl}. */
public final class AuditFolder {
    private static final ObjectMapper JSON = new ObjectMapper();

    private AuditFolder() {}

    /** Writes what the auditor must know of a run. */
    public static void writeRunParameters(Path folder, RunParameters world) throws IOException {
        JSON.writerWithDefaultPrettyPrinter()
                .writeValue(folder.resolve("world.json").toFile(), world);
    }

    /** Reads all logs, sorts them by time, and checks the rules. */
    public static AuditReport audit(Path folder) throws IOException {
        Path worldFile = folder.resolve("world.json");
        if (!Files.isRegularFile(worldFile)) {
            throw new IOException(worldFile + ": not there; expected the folder of a run");
        }
        RunParameters world = JSON.readValue(worldFile.toFile(), RunParameters.class);
        List<WireLog.Line> lines = new ArrayList<>();
        try (Stream<Path> files = Files.list(folder.resolve("wire"))) {
            for (Path file :
                    files.filter(f -> f.toString().endsWith(".jsonl")).sorted().toList()) {
                WireLog.read(file, lines::add);
            }
        }
        lines.sort(Comparator.comparingLong(WireLog.Line::timeUs));
        Auditor auditor = new Auditor(world);
        lines.forEach(auditor::accept);
        return auditor.finish();
    }
}
