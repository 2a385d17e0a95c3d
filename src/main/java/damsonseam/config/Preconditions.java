package damsonseam.config;

/** Checks of values, used by the records of settings as they are made. */
public final class Preconditions {

    private Preconditions() {}

    /** The value, or its default where the file gives none. */
    public static <T> T orDefault(T value, T defaultValue) {
        return value == null ? defaultValue : value;
    }

    /** The value, which the file must give. */
    public static <T> T requirePresent(T value, String name) {
        if (value == null) {
            throw new IllegalArgumentException(name + " is missing");
        }
        return value;
    }

    /** The value, which must lie from {@code least} to {@code most}. */
    public static int requireInRange(int value, int min, int max, String name) {
        if (value < min || value > max) {
            throw new IllegalArgumentException(name + ": expected " + min + " to " + max + ", found " + value);
        }
        return value;
    }

    /** The value, which must lie from {@code least} to {@code most}. */
    public static double requireInRange(double value, double min, double max, String name) {
        if (!(value >= min && value <= max)) {
            throw new IllegalArgumentException(name + ": expected " + min + " to " + max + ", found " + value);
        }
        return value;
    }

    /** Fails with the message unless the condition holds. */
    public static void require(boolean condition, String message) {
        if (!condition) {
            throw new IllegalArgumentException(message);
        }
    }
}
