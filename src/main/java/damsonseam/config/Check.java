package damsonseam.config;

/** Checks of values, used by the records of settings as they are made. */
public final class Check {

    private Check() {}

    /** The value, or its default where the file gives none. */
    public static <T> T or(T value, T fallback) {
        return value == null ? fallback : value;
    }

    /** The value, which the file must give. */
    public static <T> T need(T value, String name) {
        if (value == null) {
            throw new IllegalArgumentException(name + " is missing");
        }
        return value;
    }

    /** The value, which must lie from {@code least} to {@code most}. */
    public static int within(int value, int least, int most, String name) {
        if (value < least || value > most) {
            throw new IllegalArgumentException(name + ": expected " + least + " to " + most + ", found " + value);
        }
        return value;
    }

    /** The value, which must lie from {@code least} to {@code most}. */
    public static double within(double value, double least, double most, String name) {
        if (!(value >= least && value <= most)) {
            throw new IllegalArgumentException(name + ": expected " + least + " to " + most + ", found " + value);
        }
        return value;
    }

    /** Fails with the message unless the condition holds. */
    public static void that(boolean holds, String message) {
        if (!holds) {
            throw new IllegalArgumentException(message);
        }
    }
}
