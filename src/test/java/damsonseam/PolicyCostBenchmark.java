package damsonseam;

/** What a call costs the module at half load and at one and a half, acting after each call; see bench/README.md. */
final class PolicyCostBenchmark {
    private static final int ROUNDS = 3;
    private static final double CAPACITY = 10_000;

    private PolicyCostBenchmark() {}

    public static void main(String[] args) {
        for (int servers : new int[] {10, 100, 1_000}) {
            double[] each = new double[2];
            long longest = 0;
            int open = 0;
            for (int round = 0; round < ROUNDS; round++) {
                for (int i = 0; i < 2; i++) {
                    double load = i == 0 ? 0.5 : 1.5;
                    SimulatedCallStream stream = new SimulatedCallStream(
                            1, servers, load, CAPACITY * load, false, s -> a -> new CongestionControlPolicy(s, a));
                    stream.each = true;
                    stream.run(servers == 1_000 ? 1.5 : 3, false);
                    each[i] = stream.spentNs / (double) stream.offered;
                    longest = stream.longestNs;
                    open = stream.mostOpen;
                }
            }
            System.out.printf(
                    "{\"servers\":%d,\"halfLoadNs\":%.0f,\"overloadNs\":%.0f,\"ratio\":%.2f,"
                            + "\"longestUs\":%d,\"open\":%d}%n",
                    servers, each[0], each[1], each[1] / each[0], longest / 1_000, open);
        }
    }
}
