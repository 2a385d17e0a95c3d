package damsonseam.audit;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** Writes and audits the output folder of a run, which holds {@code world.json} and {@code wire/*.jsonl}. */
public final class AuditFolder {
    private static final ObjectMapper JSON = new ObjectMapper();

    private AuditFolder() {}

    /** Writes the parameters of a run to {@code world.json}. */
    public static void writeRunParameters(Path folder, RunParameters parameters) throws IOException {
        JSON.writerWithDefaultPrettyPrinter()
                .writeValue(folder.resolve("world.json").toFile(), parameters);
    }

    /**
     * Reads all wire logs, sorts their lines by time, and checks the rules. All lines are held in memory.
     *
     * @throws IOException if {@code world.json} is missing or a log cannot be read
     */
    public static AuditReport audit(Path folder) throws IOException {
        Path parametersFile = folder.resolve("world.json");
        if (!Files.isRegularFile(parametersFile)) {
            throw new IOException(parametersFile + ": not found; expected the output folder of a run");
        }
        RunParameters parameters = JSON.readValue(parametersFile.toFile(), RunParameters.class);
        List<WireLog.Line> lines = new ArrayList<>();
        try (Stream<Path> files = Files.list(folder.resolve("wire"))) {
            for (Path file : files.filter(path -> path.toString().endsWith(".jsonl"))
                    .sorted()
                    .toList()) {
                WireLog.read(file, lines::add);
            }
        }
        lines.sort(Comparator.comparingLong(WireLog.Line::timeUs));
        Auditor auditor = new Auditor(parameters);
        lines.forEach(auditor::accept);
        return auditor.finish();
    }
}
