package damsonseam.cli;

import picocli.CommandLine.Command;

/** Lists the adapter in the help. {@link Main} runs the adapter directly, without loading this class. */
@Command(
        name = "adapter",
        mixinStandardHelpOptions = true,
        description = "Speaks the simulator's protocol on standard input and output.")
final class AdapterCommand implements Runnable {
    @Override
    public void run() {
        damsonseam.adapter.Main.main(new String[] {"adapter"});
    }
}
