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
 * A stand-in pool directory: what it is told of calculators it pushes to the fronts that follow, later by its
 * notice, and can be made later still, silent, or broken.
 */
public final class DirectoryServer implements AutoCloseable {
    private static final int KEPT_VERSIONS = 1_000;

    /** A calculator as the directory lists it. */
    public record CalculatorEntry(String id, int index, String address, int pointCode) {}

    private final WireLog wire;
    private final ScheduledExecutorService thread = Executors.newSingleThreadScheduledExecutor(r -> {
        Thread t = new Thread(r, "directory");
        t.setDaemon(true);
        return t;
    });
    private final Map<String, Entry> entries = new LinkedHashMap<>();
    private final Map<String, Long> startedAt = new HashMap<>();
    private final List<Update> changes = new ArrayList<>();
    private final Map<String, StreamObserver<Update>> followers = new LinkedHashMap<>();
    private Server server;
    private InetSocketAddress address;
    private long version = 1;
    private long noticeMs;
    private boolean silent;

    /** A directory that tells of changes after {@code noticeMs}; {@code wire} may be null. */
    public DirectoryServer(long noticeMs, WireLog wire) {
        this.noticeMs = noticeMs;
        this.wire = wire;
    }

    /** Serves; a restarted one keeps its port. */
    public InetSocketAddress start(InetSocketAddress at) throws IOException {
        if (address == null) {
            address = LoopbackPorts.lasting(at);
        }
        server = NettyServerBuilder.forAddress(address)
                .addService(new Service())
                .permitKeepAliveTime(5, java.util.concurrent.TimeUnit.SECONDS)
                .build()
                .start();
        return address;
    }

    /** The streams break and nothing listens; what is known stays. */
    public void crash() throws InterruptedException {
        server.shutdownNow().awaitTermination(2, TimeUnit.SECONDS);
        thread.execute(followers::clear);
    }

    /** Changes are told so much later from now on. */
    public void setNotificationDelay(long ms) {
        thread.execute(() -> noticeMs = ms);
    }

    /** Tells nothing until told otherwise; then all that was missed. */
    public void setSilent(boolean on) {
        thread.execute(() -> {
            silent = on;
            if (!on) {
                List.copyOf(followers.keySet()).forEach(f -> send(f, fullList()));
            }
        });
    }

    /** A change of a calculator, told after the notice; a cold start of its processor is told by its age. */
    public void updateDelayed(CalculatorEntry calculator, State state, boolean startsNow) {
        long at = System.nanoTime();
        thread.execute(() ->
                thread.schedule(() -> apply(calculator, state, startsNow ? at : 0), noticeMs, TimeUnit.MILLISECONDS));
    }

    /** A change that is told at once. */
    public void updateNow(CalculatorEntry calculator, State state) {
        thread.execute(() -> apply(calculator, state, 0));
    }

    private void apply(CalculatorEntry c, State state, long started) {
        Entry entry = Entry.newBuilder()
                .setServer(c.id())
                .setNumber(c.index())
                .setAddress(c.address())
                .setPointCode(c.pointCode())
                .setState(state)
                .build();
        if (started != 0) {
            startedAt.put(c.id(), started);
        }
        if (state == State.GONE) {
            entries.remove(c.id());
        } else {
            entries.put(c.id(), entry);
        }
        version++;
        changes.add(Update.newBuilder().setVersion(version).addEntries(entry).build());
        if (changes.size() > KEPT_VERSIONS) {
            changes.remove(0);
        }
        if (!silent) {
            followers
                    .keySet()
                    .forEach(f -> send(
                            f,
                            Update.newBuilder()
                                    .setVersion(version)
                                    .addEntries(aged(entry))
                                    .build()));
        }
    }

    private Entry aged(Entry entry) {
        Long started = startedAt.get(entry.getServer());
        return started == null
                ? entry
                : entry.toBuilder()
                        .setAgeMs((System.nanoTime() - started) / 1_000_000)
                        .build();
    }

    private Update fullList() {
        Update.Builder full = Update.newBuilder().setVersion(version).setFull(true);
        entries.values().forEach(e -> full.addEntries(aged(e)));
        return full.build();
    }

    private void send(String follower, Update update) {
        StreamObserver<Update> to = followers.get(follower);
        if (to == null) {
            return;
        }
        if (wire != null) {
            wire.write("directory", follower, WireLog.DIRECTORY, update.toByteArray());
        }
        try {
            to.onNext(update);
        } catch (RuntimeException e) {
            // Its stream broke a moment ago; it follows again by itself.
            followers.remove(follower);
        }
    }

    /** Sends an update as it is to all followers, as a fault: out of order, with a gap, or wrong. */
    public void sendRaw(Update update) {
        thread.execute(() -> List.copyOf(followers.keySet()).forEach(f -> send(f, update)));
    }

    /** The version of the last change. */
    public long version() {
        return version;
    }

    @Override
    public void close() {
        // The ends of its streams are told to the thread: it goes when there are none left.
        server.shutdownNow();
        try {
            server.awaitTermination(2, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        thread.shutdownNow();
    }

    private final class Service extends PoolDirectoryGrpc.PoolDirectoryImplBase {
        @Override
        public void follow(FollowRequest request, StreamObserver<Update> to) {
            ((ServerCallStreamObserver<Update>) to)
                    .setOnCancelHandler(() -> thread.execute(() -> followers.remove(request.getFront(), to)));
            thread.execute(() -> {
                followers.put(request.getFront(), to);
                if (silent) {
                    return;
                }
                long known = request.getKnownVersion();
                long oldest = changes.isEmpty() ? version + 1 : changes.get(0).getVersion();
                if (known > 0 && known <= version && known + 1 >= oldest) {
                    // All that it missed is still here.
                    changes.stream()
                            .filter(u -> u.getVersion() > known)
                            .forEach(u -> send(
                                    request.getFront(),
                                    u.toBuilder()
                                            .setEntries(0, aged(u.getEntries(0)))
                                            .build()));
                } else {
                    send(request.getFront(), fullList());
                }
            });
        }
    }
}
