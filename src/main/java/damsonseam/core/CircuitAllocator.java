package damsonseam.core;

import java.util.BitSet;

/**
 * Allocates the circuits of one trunk group. One bitmap for each reason records the circuits that are not idle, and
 * two more record the idle ones by the exchange that controls them, so that hunting is a search for the next set bit
 * instead of a scan of all circuits. Circuit identification codes start at 1 (ITU-T Q.763 1.2). Hunting proceeds
 * cyclically from the last circuit seized, so that a released circuit is reused as late as possible. Circuits
 * controlled by this exchange are seized first (Q.764 2.9.1), which keeps dual seizure rare.
 */
public final class CircuitAllocator {
    /** Maximum number of circuits in a group: a circuit identification code has 12 bits. */
    public static final int MAX_CIRCUITS = 4095;

    private final int size;
    private final int controlledParity;
    private final BitSet seized = new BitSet();
    private final BitSet blocked = new BitSet();
    private final BitSet resetting = new BitSet();
    private final BitSet idleControlled = new BitSet();
    private final BitSet idleUncontrolled = new BitSet();
    private int idleCount;
    private int lastSeized;

    /**
     * Creates a group with all circuits idle.
     *
     * @param size number of circuits, 1 to {@link #MAX_CIRCUITS}
     * @param controlsEven whether this exchange has the higher point code and therefore controls the even codes
     */
    public CircuitAllocator(int size, boolean controlsEven) {
        if (size < 1 || size > MAX_CIRCUITS) {
            throw new IllegalArgumentException("trunk group size must be 1 to " + MAX_CIRCUITS + ", not " + size);
        }
        this.size = size;
        controlledParity = controlsEven ? 0 : 1;
        for (int code = 1; code <= size; code++) {
            update(code);
        }
    }

    /** Seizes an idle circuit; returns its code, or 0 if none is idle. */
    public int seize() {
        int code = nextIdle(idleControlled);
        code = code == 0 ? nextIdle(idleUncontrolled) : code;
        if (code != 0) {
            seized.set(code);
            update(code);
            lastSeized = code;
        }
        return code;
    }

    private int nextIdle(BitSet circuits) {
        int code = circuits.nextSetBit(lastSeized + 1);
        code = code < 0 ? circuits.nextSetBit(1) : code;
        return Math.max(code, 0);
    }

    /** Records that the remote exchange has seized a circuit. */
    public void seizeIncoming(int code) {
        set(seized, code, true);
    }

    /** Returns a circuit to idle after its release or reset is complete. */
    public void setIdle(int code) {
        set(resetting, code, false);
        set(seized, code, false);
    }

    /** Marks a circuit as being reset; it is not seized until {@link #setIdle}. */
    public void startReset(int code) {
        set(resetting, code, true);
    }

    /** Records that the remote exchange has blocked or unblocked a circuit for new calls (Q.764 2.9.2). */
    public void setBlocked(int code, boolean isBlocked) {
        set(blocked, code, isBlocked);
    }

    private void set(BitSet flags, int code, boolean value) {
        if (!contains(code)) {
            throw new IllegalArgumentException("circuit " + code + " is not in a group of " + size);
        }
        flags.set(code, value);
        update(code);
    }

    private void update(int code) {
        BitSet idleCircuits = isControlled(code) ? idleControlled : idleUncontrolled;
        boolean isIdle = !seized.get(code) && !blocked.get(code) && !resetting.get(code);
        if (isIdle != idleCircuits.get(code)) {
            idleCircuits.set(code, isIdle);
            idleCount += isIdle ? 1 : -1;
        }
    }

    /** Returns the number of idle circuits. */
    public int idleCount() {
        return idleCount;
    }

    /** Returns whether the group has a circuit with this code. */
    public boolean contains(int code) {
        return code >= 1 && code <= size;
    }

    /** Returns whether this exchange controls the circuit and so prevails in a dual seizure (Q.764 2.9.1.4). */
    public boolean isControlled(int code) {
        return code % 2 == controlledParity;
    }

    /** Returns the number of circuits in the group. */
    public int size() {
        return size;
    }
}
