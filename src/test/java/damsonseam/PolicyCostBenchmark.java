package damsonseam;

/**
 * Measures what a call costs the policy at half and at one and a half times the capacity, with a batch per call; see
 * bench/README.md.
 */
final class PolicyCostBenchmark {
    private static final int ROUNDS = 3;
    private static final double CAPACITY_CALLS_PER_S = 10_000;

    private PolicyCostBenchmark() {}

    public static void main(String[] args) {
        for (int servers : new int[] {10, 100, 1_000}) {
            double[] nsPerCall = new double[2];
            long longestBatchNs = 0;
            int maxOpenCalls = 0;
            for (int round = 0; round < ROUNDS; round++) {
                for (int i = 0; i < 2; i++) {
                    double load = i == 0 ? 0.5 : 1.5;
                    SimulatedCallStream stream = new SimulatedCallStream(
                            1,
                            servers,
                            load,
                            CAPACITY_CALLS_PER_S * load,
                            false,
                            s -> a -> new CongestionControlPolicy(s, a));
                    stream.batchPerCall = true;
                    stream.run(servers == 1_000 ? 1.5 : 3, false);
                    nsPerCall[i] = stream.totalNs / (double) stream.offered;
                    longestBatchNs = stream.longestBatchNs;
                    maxOpenCalls = stream.maxOpenCalls;
                }
            }
            System.out.printf(
                    "{\"servers\":%d,\"halfLoadNs\":%.0f,\"overloadNs\":%.0f,\"ratio\":%.2f,"
                            + "\"longestUs\":%d,\"open\":%d}%n",
                    servers,
                    nsPerCall[0],
                    nsPerCall[1],
                    nsPerCall[1] / nsPerCall[0],
                    longestBatchNs / 1_000,
                    maxOpenCalls);
        }
    }
}
