package damsonseam.adapter;

import java.io.BufferedReader;
import java.io.BufferedWriter;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStreamWriter;
import java.nio.charset.StandardCharsets;

/** Command line of the adapter: reads batches of events from standard input, writes replies to standard output. */
public final class Main {

    private Main() {}

    /** Runs the command line; exits with 0 at end of input, 1 on malformed input, 2 on wrong usage. */
    public static void main(String[] args) {
        if (args.length != 1 || !args[0].equals("adapter")) {
            System.err.println("usage: java -jar damsonseam.jar adapter");
            System.exit(2);
        }
        BufferedReader in = new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8), 1 << 16);
        BufferedWriter out = new BufferedWriter(new OutputStreamWriter(System.out, StandardCharsets.UTF_8), 1 << 16);
        try {
            new WireAdapter(in, out).run();
        } catch (WireFormatException | IOException e) {
            System.err.println("damsonseam: " + e.getMessage());
            System.exit(1);
        }
    }
}
