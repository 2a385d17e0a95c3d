package damsonseam.overload;

import java.util.List;

/** The classes of call in the order of what one is worth: rank 0 goes first when something must go. */
public final class WorthRanks {
    /** Ranks at most; classes beyond that share the ranks of their neighbours. */
    public static final int MAX_RANKS = 16;

    private final int[] rankOf;
    private final int count;

    /** Ranks of classes with these worths, in the order of the settings; equal worths share a rank. */
    public WorthRanks(List<Double> worths) {
        if (worths.isEmpty()) {
            throw new IllegalArgumentException("ranks need one class at least");
        }
        double[] distinct = worths.stream()
                .mapToDouble(Double::doubleValue)
                .distinct()
                .sorted()
                .toArray();
        count = Math.min(MAX_RANKS, distinct.length);
        rankOf = new int[worths.size()];
        for (int i = 0; i < rankOf.length; i++) {
            int place = java.util.Arrays.binarySearch(distinct, worths.get(i));
            rankOf[i] = distinct.length <= MAX_RANKS ? place : (int) ((long) place * MAX_RANKS / distinct.length);
        }
    }

    /** How many ranks there are. */
    public int count() {
        return count;
    }

    /** The rank of a class, by its place in the settings. */
    public int rankOfClass(int callClass) {
        return rankOf[callClass];
    }
}
