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
 * Samples JVM metrics ten times a second: heap in use after garbage collections, collector time, CPU time of the
 * process and of the event loop's thread, open files. Sampling runs on a thread of its own, so that it costs the event
 * loop nothing; {@link #latestSample} may be called from any thread.
 */
final class JvmMonitor implements AutoCloseable {
    private static final long SAMPLE_INTERVAL_MS = 100;
    private static final int SAMPLES_PER_FILE_COUNT = 10;
    private static final Set<String> HEAP_POOLS = ManagementFactory.getMemoryPoolMXBeans().stream()
            .filter(p -> p.getType() == MemoryType.HEAP)
            .map(p -> p.getName())
            .collect(Collectors.toSet());

    private final ThreadMXBean threadBean = (ThreadMXBean) ManagementFactory.getThreadMXBean();
    private final OperatingSystemMXBean operatingSystem =
            (OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
    private final AtomicLong collectorMs = new AtomicLong();
    private final NotificationListener listener = (notification, handback) -> {
        if (notification.getType().equals(GarbageCollectionNotificationInfo.GARBAGE_COLLECTION_NOTIFICATION)) {
            onCollection(GarbageCollectionNotificationInfo.from((CompositeData) notification.getUserData()));
        }
    };
    private final ScheduledExecutorService sampler = Executors.newSingleThreadScheduledExecutor(r -> {
        Thread thread = new Thread(r, "jvm-monitor");
        thread.setDaemon(true);
        return thread;
    });
    private volatile long loopThreadId = -1;
    private volatile double heapShare;
    /** Written by the JMX notification thread only. */
    private volatile long collections;

    private volatile Sample latestSample = new Sample(0, 0, 0, 0, 0, 0, 0);
    private int samplesTaken;
    private double openFileShare;

    /**
     * One sample. Counts and times are totals since the start.
     *
     * @param heapShare share of the maximum heap in use after the last collection
     * @param collections number of collections
     * @param collectorMs time spent in collections, in milliseconds
     * @param loopCpuMs CPU time of the event loop's thread, in milliseconds
     * @param loopAllocatedBytes bytes allocated by the event loop's thread
     * @param cpuShare share of the machine's CPU time that the process uses
     * @param openFileShare open file descriptors as a share of the process's limit
     */
    record Sample(
            double heapShare,
            long collections,
            double collectorMs,
            double loopCpuMs,
            long loopAllocatedBytes,
            double cpuShare,
            double openFileShare) {}

    /** Starts sampling; {@code threadId} is the id of the event loop's thread. */
    void start(long threadId) {
        loopThreadId = threadId;
        for (GarbageCollectorMXBean collector : ManagementFactory.getGarbageCollectorMXBeans()) {
            ((NotificationEmitter) collector).addNotificationListener(listener, null, null);
        }
        sampler.scheduleWithFixedDelay(this::takeSample, 0, SAMPLE_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    private void onCollection(GarbageCollectionNotificationInfo info) {
        collectorMs.addAndGet(info.getGcInfo().getDuration());
        long used = 0;
        for (Map.Entry<String, MemoryUsage> pool :
                info.getGcInfo().getMemoryUsageAfterGc().entrySet()) {
            used += HEAP_POOLS.contains(pool.getKey()) ? pool.getValue().getUsed() : 0;
        }
        heapShare = used / (double) Runtime.getRuntime().maxMemory();
        collections++;
    }

    private void takeSample() {
        if (samplesTaken++ % SAMPLES_PER_FILE_COUNT == 0 && operatingSystem instanceof UnixOperatingSystemMXBean unix) {
            // Counting open files lists a directory in /proc, so it is not done for every sample.
            openFileShare = unix.getOpenFileDescriptorCount() / (double) unix.getMaxFileDescriptorCount();
        }
        latestSample = new Sample(
                heapShare,
                collections,
                collectorMs.get(),
                threadBean.getThreadCpuTime(loopThreadId) / 1e6,
                threadBean.getThreadAllocatedBytes(loopThreadId),
                operatingSystem.getProcessCpuLoad(),
                openFileShare);
    }

    /** Returns the latest sample, all zero before the first. */
    Sample latestSample() {
        return latestSample;
    }

    @Override
    public void close() {
        sampler.shutdownNow();
        for (GarbageCollectorMXBean collector : ManagementFactory.getGarbageCollectorMXBeans()) {
            try {
                ((NotificationEmitter) collector).removeNotificationListener(listener);
            } catch (ListenerNotFoundException e) {
                // Never started.
            }
        }
    }
}
