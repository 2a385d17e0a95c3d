package damsonseam.core;

import java.util.BitSet;

/**
 * The circuits of one trunk group. Why a circuit is not idle is kept in one bitmap for each reason, and which
 * ones are idle in two more, by the end that controls them, so that hunting is a search for the next set bit
 * and never a walk over circuits. Circuit identification codes run from 1 (ITU-T Q.763 1.2). Hunting goes
 * around from the last circuit taken, so that one just released rests longest; the codes that this end controls
 * go first (Q.764 2.9.1), which keeps dual seizure rare.
 */
public final class CircuitAllocator {
    /** Most circuits of a group: a code has 12 bits. */
    public static final int MAX_CIRCUITS = 4095;

    private final int size;
    private final int controlledParity;
    private final BitSet taken = new BitSet();
    private final BitSet blocked = new BitSet();
    private final BitSet resetting = new BitSet();
    private final BitSet idleOwn = new BitSet();
    private final BitSet idleOther = new BitSet();
    private int setIdle;
    private int last;

    /**
     * A group with all circuits idle.
     *
     * @param size the number of circuits, 1 to {@link #MAX_CIRCUITS}
     * @param controlsEven whether this end, having the higher point code, controls the even codes
     */
    public CircuitAllocator(int size, boolean controlsEven) {
        if (size < 1 || size > MAX_CIRCUITS) {
            throw new IllegalArgumentException("a trunk group has 1 to " + MAX_CIRCUITS + " circuits, not " + size);
        }
        this.size = size;
        controlledParity = controlsEven ? 0 : 1;
        for (int code = 1; code <= size; code++) {
            update(code);
        }
    }

    /** Takes an idle circuit; returns its code, or 0 if there is none. */
    public int seize() {
        int code = next(idleOwn);
        code = code == 0 ? next(idleOther) : code;
        if (code != 0) {
            taken.set(code);
            update(code);
            last = code;
        }
        return code;
    }

    private int next(BitSet of) {
        int code = of.nextSetBit(last + 1);
        code = code < 0 ? of.nextSetBit(1) : code;
        return Math.max(code, 0);
    }

    /** The far end seized this circuit. */
    public void seizeIncoming(int code) {
        set(taken, code, true);
    }

    /** The release of this circuit, or its reset, is complete. */
    public void setIdle(int code) {
        set(resetting, code, false);
        set(taken, code, false);
    }

    /** The circuit is being reset and is not used until {@link #setIdle}. */
    public void startReset(int code) {
        set(resetting, code, true);
    }

    /** The far end blocks this circuit for new calls, or no longer does (Q.764 2.9.2). */
    public void setBlocked(int code, boolean on) {
        set(blocked, code, on);
    }

    private void set(BitSet of, int code, boolean on) {
        if (!contains(code)) {
            throw new IllegalArgumentException("circuit " + code + " of a group of " + size);
        }
        of.set(code, on);
        update(code);
    }

    private void update(int code) {
        BitSet of = isControlled(code) ? idleOwn : idleOther;
        boolean now = !taken.get(code) && !blocked.get(code) && !resetting.get(code);
        if (now != of.get(code)) {
            of.set(code, now);
            setIdle += now ? 1 : -1;
        }
    }

    /** Circuits on which a set-up could go out. */
    public int idleCount() {
        return setIdle;
    }

    /** Whether this code belongs to the group. */
    public boolean contains(int code) {
        return code >= 1 && code <= size;
    }

    /** Whether this end wins when both seize this circuit at once (Q.764 2.9.1.4). */
    public boolean isControlled(int code) {
        return code % 2 == controlledParity;
    }

    /** The number of circuits. */
    public int size() {
        return size;
    }
}
