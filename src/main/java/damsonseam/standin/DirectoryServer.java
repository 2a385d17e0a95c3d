package damsonseam.standin;

import damsonseam.audit.WireLog;
import damsonseam.directory.wire.Entry;
import damsonseam.directory.wire.FollowRequest;
import damsonseam.directory.wire.PoolDirectoryGrpc;
import damsonseam.directory.wire.State;
import damsonseam.directory.wire.Update;
import io.grpc.Server;
import io.grpc.netty.shaded.io.grpc.netty.NettyServerBuilder;
import io.grpc.stub.ServerCallStreamObserver;
import io.grpc.stub.StreamObserver;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * A stand-in pool directory: a gRPC server that streams changes of the calculators to the fronts that follow it, after
 * a notification delay. It can be delayed further, silenced or crashed.
 *
 * <p>All state belongs to one thread, its executor; the public methods may be called from any other thread. The
 * last {@value #MAX_KEPT_UPDATES} updates are kept for fronts that reconnect.
 */
public final class DirectoryServer implements AutoCloseable {
    private static final int MAX_KEPT_UPDATES = 1_000;

    /**
     * A calculator as the directory lists it.
     *
     * @param id name of the calculator
     * @param index its index among the calculators, from 0
     * @param address its host and port
     * @param pointCode its signalling point code
     */
    public record CalculatorEntry(String id, int index, String address, int pointCode) {}

    private final WireLog wire;
    private final ScheduledExecutorService executor = Executors.newSingleThreadScheduledExecutor(r -> {
        Thread thread = new Thread(r, "directory");
        thread.setDaemon(true);
        return thread;
    });
    private final Map<String, Entry> entries = new LinkedHashMap<>();
    private final Map<String, Long> coldStartNanos = new HashMap<>();
    private final List<Update> recentUpdates = new ArrayList<>();
    private final Map<String, StreamObserver<Update>> followers = new LinkedHashMap<>();
    private Server server;
    private InetSocketAddress address;
    private long version = 1;
    private long notificationDelayMs;
    private boolean silent;

    /**
     * Creates a directory that is not started.
     *
     * @param notificationDelayMs time from a change to its notification, in milliseconds
     * @param wire log of the updates sent, or null
     */
    public DirectoryServer(long notificationDelayMs, WireLog wire) {
        this.notificationDelayMs = notificationDelayMs;
        this.wire = wire;
    }

    /** Starts serving; a restarted directory keeps its address and ignores the requested one. */
    public InetSocketAddress start(InetSocketAddress requestedAddress) throws IOException {
        if (address == null) {
            address = LoopbackPorts.withFixedPort(requestedAddress);
        }
        server = NettyServerBuilder.forAddress(address)
                .addService(new Service())
                .permitKeepAliveTime(5, java.util.concurrent.TimeUnit.SECONDS)
                .build()
                .start();
        return address;
    }

    /** Breaks all streams and stops listening; the entries are kept for a restart. */
    public void crash() throws InterruptedException {
        server.shutdownNow().awaitTermination(2, TimeUnit.SECONDS);
        executor.execute(followers::clear);
    }

    /** Sets the notification delay of the changes that follow. */
    public void setNotificationDelay(long delayMs) {
        executor.execute(() -> notificationDelayMs = delayMs);
    }

    /** Stops all updates, or sends them again, beginning with a full one. */
    public void setSilent(boolean enabled) {
        executor.execute(() -> {
            silent = enabled;
            if (!enabled) {
                List.copyOf(followers.keySet()).forEach(f -> send(f, fullUpdate()));
            }
        });
    }

    /**
     * Changes a calculator's entry after the notification delay.
     *
     * @param calculator calculator that changed
     * @param state its new state
     * @param coldStart whether its processor starts cold now; updates then carry its age
     */
    public void updateDelayed(CalculatorEntry calculator, State state, boolean coldStart) {
        long nowNanos = System.nanoTime();
        executor.execute(() -> executor.schedule(
                () -> applyChange(calculator, state, coldStart ? nowNanos : 0),
                notificationDelayMs,
                TimeUnit.MILLISECONDS));
    }

    /** Changes a calculator's entry and sends the update at once. */
    public void updateNow(CalculatorEntry calculator, State state) {
        executor.execute(() -> applyChange(calculator, state, 0));
    }

    private void applyChange(CalculatorEntry calculator, State state, long startedNanos) {
        Entry entry = Entry.newBuilder()
                .setServer(calculator.id())
                .setNumber(calculator.index())
                .setAddress(calculator.address())
                .setPointCode(calculator.pointCode())
                .setState(state)
                .build();
        if (startedNanos != 0) {
            coldStartNanos.put(calculator.id(), startedNanos);
        }
        if (state == State.GONE) {
            entries.remove(calculator.id());
        } else {
            entries.put(calculator.id(), entry);
        }
        version++;
        recentUpdates.add(
                Update.newBuilder().setVersion(version).addEntries(entry).build());
        if (recentUpdates.size() > MAX_KEPT_UPDATES) {
            recentUpdates.remove(0);
        }
        if (!silent) {
            followers
                    .keySet()
                    .forEach(f -> send(
                            f,
                            Update.newBuilder()
                                    .setVersion(version)
                                    .addEntries(withAge(entry))
                                    .build()));
        }
    }

    private Entry withAge(Entry entry) {
        Long startedNanos = coldStartNanos.get(entry.getServer());
        return startedNanos == null
                ? entry
                : entry.toBuilder()
                        .setAgeMs((System.nanoTime() - startedNanos) / 1_000_000)
                        .build();
    }

    private Update fullUpdate() {
        Update.Builder full = Update.newBuilder().setVersion(version).setFull(true);
        entries.values().forEach(e -> full.addEntries(withAge(e)));
        return full.build();
    }

    private void send(String follower, Update update) {
        StreamObserver<Update> stream = followers.get(follower);
        if (stream == null) {
            return;
        }
        if (wire != null) {
            wire.write("directory", follower, WireLog.DIRECTORY, update.toByteArray());
        }
        try {
            stream.onNext(update);
        } catch (RuntimeException e) {
            // The stream has just broken: the front will follow again by itself.
            followers.remove(follower);
        }
    }

    /** Sends an update unchanged to all followers, to simulate one that is out of order, has a gap or is wrong. */
    public void sendRaw(Update update) {
        executor.execute(() -> List.copyOf(followers.keySet()).forEach(f -> send(f, update)));
    }

    /** Returns the version of the last change. */
    public long version() {
        return version;
    }

    @Override
    public void close() {
        // The cancel handlers of the streams use the executor: it must not stop before the server does.
        server.shutdownNow();
        try {
            server.awaitTermination(2, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        executor.shutdownNow();
    }

    /** The gRPC service that fronts follow. */
    private final class Service extends PoolDirectoryGrpc.PoolDirectoryImplBase {
        @Override
        public void follow(FollowRequest request, StreamObserver<Update> stream) {
            ((ServerCallStreamObserver<Update>) stream)
                    .setOnCancelHandler(() -> executor.execute(() -> followers.remove(request.getFront(), stream)));
            executor.execute(() -> {
                followers.put(request.getFront(), stream);
                if (silent) {
                    return;
                }
                long knownVersion = request.getKnownVersion();
                long oldestVersion = recentUpdates.isEmpty()
                        ? version + 1
                        : recentUpdates.get(0).getVersion();
                if (knownVersion > 0 && knownVersion <= version && knownVersion + 1 >= oldestVersion) {
                    // All updates that the front missed are still kept.
                    recentUpdates.stream()
                            .filter(u -> u.getVersion() > knownVersion)
                            .forEach(u -> send(
                                    request.getFront(),
                                    u.toBuilder()
                                            .setEntries(0, withAge(u.getEntries(0)))
                                            .build()));
                } else {
                    send(request.getFront(), fullUpdate());
                }
            });
        }
    }
}
