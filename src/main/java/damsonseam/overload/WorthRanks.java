package damsonseam.overload;

import java.util.List;

/** Ranks the call classes by the worth of a call; rank 0 is the lowest and is refused first. Immutable. */
public final class WorthRanks {
    /** Maximum number of ranks; if there are more distinct worths, neighbouring ones share a rank. */
    public static final int MAX_RANKS = 16;

    private final int[] rankByClass;
    private final int count;

    /** Creates the ranks of classes with these worths, in the order of the settings; equal worths share a rank. */
    public WorthRanks(List<Double> worths) {
        if (worths.isEmpty()) {
            throw new IllegalArgumentException("at least one call class is required");
        }
        double[] distinct = worths.stream()
                .mapToDouble(Double::doubleValue)
                .distinct()
                .sorted()
                .toArray();
        count = Math.min(MAX_RANKS, distinct.length);
        rankByClass = new int[worths.size()];
        for (int i = 0; i < rankByClass.length; i++) {
            int position = java.util.Arrays.binarySearch(distinct, worths.get(i));
            rankByClass[i] =
                    distinct.length <= MAX_RANKS ? position : (int) ((long) position * MAX_RANKS / distinct.length);
        }
    }

    /** Returns the number of ranks. */
    public int count() {
        return count;
    }

    /** Returns the rank of a class, given the index of the class in the settings. */
    public int rankOfClass(int callClass) {
        return rankByClass[callClass];
    }
}
