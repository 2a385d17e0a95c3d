package damsonseam.cli;

/** Entry of the program. The adapter and the front node are told apart first: neither loads what it can't use. */
public final class Main {

    private Main() {}

    /** Runs the command line; see {@code damsonseam --help}. */
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
