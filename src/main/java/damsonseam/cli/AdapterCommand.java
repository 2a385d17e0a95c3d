package damsonseam.cli;

import picocli.CommandLine.Command;

/** Stands in the help; {@link Main} runs the adapter before this is ever loaded. */
@Command(
        name = "adapter",
        mixinStandardHelpOptions = true,
        description = "Speaks the simulator's wire on standard input and output.")
final class AdapterCommand implements Runnable {
    @Override
    public void run() {
        damsonseam.adapter.Main.main(new String[] {"adapter"});
    }
}
