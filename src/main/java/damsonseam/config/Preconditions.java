package damsonseam.config;

/** Checks and defaults for the components of settings records. Failed checks throw IllegalArgumentException. */
public final class Preconditions {

    private Preconditions() {}

    /** Returns the value, or {@code defaultValue} if the file does not give it. */
    public static <T> T orDefault(T value, T defaultValue) {
        return value == null ? defaultValue : value;
    }

    /** Returns the value; throws if the file does not give it. */
    public static <T> T requirePresent(T value, String name) {
        if (value == null) {
            throw new IllegalArgumentException(name + " is missing");
        }
        return value;
    }

    /** Returns the value; throws unless it lies between {@code min} and {@code max}, both inclusive. */
    public static int requireInRange(int value, int min, int max, String name) {
        if (value < min || value > max) {
            throw new IllegalArgumentException(name + ": expected " + min + " to " + max + ", found " + value);
        }
        return value;
    }

    /** Returns the value; throws unless it lies between {@code min} and {@code max}, both inclusive. */
    public static double requireInRange(double value, double min, double max, String name) {
        if (!(value >= min && value <= max)) {
            throw new IllegalArgumentException(name + ": expected " + min + " to " + max + ", found " + value);
        }
        return value;
    }

    /** Throws with the message unless the condition holds. */
    public static void require(boolean condition, String message) {
        if (!condition) {
            throw new IllegalArgumentException(message);
        }
    }
}
