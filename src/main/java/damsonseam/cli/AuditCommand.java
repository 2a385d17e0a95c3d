package damsonseam.cli;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import damsonseam.audit.AuditFolder;
import damsonseam.audit.AuditReport;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** Checks the five rules against the wire logs in a run's folder. */
@Command(
        name = "audit",
        mixinStandardHelpOptions = true,
        description = {"Checks the five rules against the wire logs of a run. Exits with 1 if a rule was broken."})
final class AuditCommand implements Callable<Integer> {
    @Parameters(paramLabel = "DIR", description = "Folder of the run.")
    private Path folder;

    @Override
    public Integer call() throws Exception {
        AuditReport report = AuditFolder.audit(folder);
        System.out.println(
                new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT).writeValueAsString(report));
        return report.violations() == 0 ? RootCommand.EXIT_OK : RootCommand.EXIT_FAILED;
    }
}
