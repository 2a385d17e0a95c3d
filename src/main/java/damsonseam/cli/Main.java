package damsonseam.cli;

/** Entry point. Starts the adapter and the front node directly, so that they do not load the command-line library. */
public final class Main {

    private Main() {}

    /** Runs the program; see {@code damsonseam --help}. */
    public static void main(String[] args) throws Exception {
        if (args.length > 0 && args[0].equals("adapter")) {
            damsonseam.adapter.Main.main(args);
            return;
        }
        if (args.length == 1 && args[0].equals("node")) {
            System.exit(NodeCommand.run(System.getenv("NODE_CONFIG")));
        }
        System.exit(RootCommand.run(args));
    }
}
