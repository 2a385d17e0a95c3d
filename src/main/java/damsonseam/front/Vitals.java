package damsonseam.front;

import com.sun.management.GarbageCollectionNotificationInfo;
import com.sun.management.OperatingSystemMXBean;
import com.sun.management.ThreadMXBean;
import com.sun.management.UnixOperatingSystemMXBean;
import java.lang.management.GarbageCollectorMXBean;
import java.lang.management.ManagementFactory;
import java.lang.management.MemoryType;
import java.lang.management.MemoryUsage;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Collectors;
import javax.management.ListenerNotFoundException;
import javax.management.NotificationEmitter;
import javax.management.NotificationListener;
import javax.management.openmbean.CompositeData;

/**
 * What the Java machine tells of itself, looked at ten times a second by a thread of its own, so that no look costs
 * the loop anything: the heap as collections leave it, pauses, processor time of the program and of the loop's
 * thread, files open.
 */
final class Vitals implements AutoCloseable {
    private static final long EVERY_MS = 100;
    private static final int LOOKS_PER_FILE_LOOK = 10;
    private static final Set<String> HEAP_POOLS = ManagementFactory.getMemoryPoolMXBeans().stream()
            .filter(p -> p.getType() == MemoryType.HEAP)
            .map(p -> p.getName())
            .collect(Collectors.toSet());

    private final ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
    private final OperatingSystemMXBean system = (OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
    private final AtomicLong pausedMs = new AtomicLong();
    private final NotificationListener listener = (notification, handback) -> {
        if (notification.getType().equals(GarbageCollectionNotificationInfo.GARBAGE_COLLECTION_NOTIFICATION)) {
            collected(GarbageCollectionNotificationInfo.from((CompositeData) notification.getUserData()));
        }
    };
    private final ScheduledExecutorService thread = Executors.newSingleThreadScheduledExecutor(r -> {
        Thread t = new Thread(r, "vitals");
        t.setDaemon(true);
        return t;
    });
    private volatile long loopThread = -1;
    private volatile double heap;
    /** Written by the thread of notifications alone. */
    private volatile long collections;

    private volatile Sample last = new Sample(0, 0, 0, 0, 0, 0, 0);
    private int looks;
    private double files;

    /**
     * One look.
     *
     * @param heap share of the heap that the last collection left in use
     * @param collections how many there were
     * @param pausedMs time that collections took in all
     * @param loopCpuMs processor time of the loop's thread in all
     * @param loopOctets octets that the loop's thread has allocated in all
     * @param cpu share of the machine's processors that the program uses
     * @param files share of the files that it may open
     */
    record Sample(
            double heap,
            long collections,
            double pausedMs,
            double loopCpuMs,
            long loopOctets,
            double cpu,
            double files) {}

    /** Starts looking. */
    void start(long loopThreadId) {
        loopThread = loopThreadId;
        for (GarbageCollectorMXBean collector : ManagementFactory.getGarbageCollectorMXBeans()) {
            ((NotificationEmitter) collector).addNotificationListener(listener, null, null);
        }
        thread.scheduleWithFixedDelay(this::look, 0, EVERY_MS, TimeUnit.MILLISECONDS);
    }

    private void collected(GarbageCollectionNotificationInfo info) {
        pausedMs.addAndGet(info.getGcInfo().getDuration());
        long used = 0;
        for (Map.Entry<String, MemoryUsage> pool :
                info.getGcInfo().getMemoryUsageAfterGc().entrySet()) {
            used += HEAP_POOLS.contains(pool.getKey()) ? pool.getValue().getUsed() : 0;
        }
        heap = used / (double) Runtime.getRuntime().maxMemory();
        collections++;
    }

    private void look() {
        if (looks++ % LOOKS_PER_FILE_LOOK == 0 && system instanceof UnixOperatingSystemMXBean unix) {
            // Counting them reads a folder of the system's, so not each time.
            files = unix.getOpenFileDescriptorCount() / (double) unix.getMaxFileDescriptorCount();
        }
        last = new Sample(
                heap,
                collections,
                pausedMs.get(),
                threads.getThreadCpuTime(loopThread) / 1e6,
                threads.getThreadAllocatedBytes(loopThread),
                system.getProcessCpuLoad(),
                files);
    }

    /** The last look. */
    Sample sample() {
        return last;
    }

    @Override
    public void close() {
        thread.shutdownNow();
        for (GarbageCollectorMXBean collector : ManagementFactory.getGarbageCollectorMXBeans()) {
            try {
                ((NotificationEmitter) collector).removeNotificationListener(listener);
            } catch (ListenerNotFoundException e) {
                // It was never started.
            }
        }
    }
}
