package damsonseam.front;

import damsonseam.Front.State;
import damsonseam.core.Pool;
import damsonseam.core.Ports;
import damsonseam.core.Router;
import damsonseam.directory.wire.Entry;
import damsonseam.directory.wire.FollowRequest;
import damsonseam.directory.wire.PoolDirectoryGrpc;
import damsonseam.directory.wire.Update;
import damsonseam.loop.Loop;
import io.grpc.Context;
import io.grpc.ManagedChannel;
import io.grpc.netty.shaded.io.grpc.netty.NettyChannelBuilder;
import io.grpc.stub.StreamObserver;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Follows the pool directory's stream. Updates are handed to the front's loop in their order; when the stream
 * breaks the module is told, which asks to follow again, and the list stays as it was until news comes.
 */
final class DirectoryClient implements Ports.Directory {
    private static final Logger LOG = LoggerFactory.getLogger(DirectoryClient.class);
    private static final int MOST_MESSAGE = 1 << 20;

    private final Loop loop;
    private final String front;
    private final ManagedChannel channel;
    private Router router;
    private TrunkLinks trunks;
    private Context.CancellableContext stream;
    private long generation;

    DirectoryClient(Loop loop, String front, InetSocketAddress address) {
        this.loop = loop;
        this.front = front;
        channel = NettyChannelBuilder.forAddress(address)
                .usePlaintext()
                .maxInboundMessageSize(MOST_MESSAGE)
                .keepAliveTime(30, TimeUnit.SECONDS)
                .keepAliveTimeout(2, TimeUnit.SECONDS)
                .build();
    }

    void start(Router router, TrunkLinks trunks) {
        this.router = router;
        this.trunks = trunks;
        follow();
    }

    @Override
    public void fetch() {
        open(0);
    }

    @Override
    public void follow() {
        if (stream == null) {
            open(router.pool().version());
        }
    }

    /** Opens a stream, in place of one that is open; what still comes on the old one is passed over. */
    private void open(long knownVersion) {
        cancel();
        long mine = ++generation;
        stream = Context.ROOT.withCancellation();
        FollowRequest request = FollowRequest.newBuilder()
                .setFront(front)
                .setKnownVersion(knownVersion)
                .build();
        stream.run(() -> PoolDirectoryGrpc.newStub(channel).withWaitForReady().follow(request, new StreamObserver<>() {
            @Override
            public void onNext(Update update) {
                hand(() -> update(mine, update));
            }

            @Override
            public void onError(Throwable error) {
                hand(() -> broke(mine, error.getMessage()));
            }

            @Override
            public void onCompleted() {
                hand(() -> broke(mine, "closed by the directory"));
            }
        }));
    }

    /** News that comes while the front ends is nobody's any more. */
    private void hand(Runnable news) {
        if (!loop.eventLoop().isShuttingDown()) {
            loop.eventLoop().execute(news);
        }
    }

    private void update(long of, Update update) {
        if (of != generation) {
            return;
        }
        double now = loop.now();
        boolean gap;
        try {
            gap = router.directory(now, update.getVersion(), update.getFull(), servers(update, now));
        } catch (IllegalArgumentException e) {
            LOG.atWarn()
                    .addKeyValue("version", update.getVersion())
                    .addKeyValue("why", e.getMessage())
                    .log("directory update refused");
            return;
        }
        LOG.atInfo()
                .addKeyValue("version", update.getVersion())
                .addKeyValue("full", update.getFull())
                .addKeyValue("entries", update.getEntriesCount())
                .log("directory update");
        trunks.follow(router.pool());
        if (gap) {
            fetch();
        }
        loop.kick();
    }

    private static List<Pool.Server> servers(Update update, double now) {
        List<Pool.Server> servers = new ArrayList<>(update.getEntriesCount());
        for (Entry e : update.getEntriesList()) {
            State state =
                    switch (e.getState()) {
                        case RUNNING -> State.RUNNING;
                        case DRAINING -> State.DRAINING;
                        case GONE -> State.GONE;
                        default -> throw new IllegalArgumentException("server " + e.getServer() + " without a state");
                    };
            if (e.getServer().isEmpty() || state != State.GONE) {
                damsonseam.config.Endpoint.parse(e.getAddress());
            }
            servers.add(new Pool.Server(
                    e.getServer(),
                    e.getNumber(),
                    e.getAddress(),
                    e.getPointCode(),
                    state,
                    e.hasAgeMs() ? OptionalDouble.of(now - e.getAgeMs()) : OptionalDouble.empty()));
        }
        return servers;
    }

    private void broke(long of, String why) {
        if (of == generation) {
            LOG.atWarn().addKeyValue("why", why).log("directory stream broke");
            cancel();
            router.directoryFailed(loop.now());
            loop.kick();
        }
    }

    private void cancel() {
        generation++;
        if (stream != null) {
            stream.cancel(null);
            stream = null;
        }
    }

    void close() {
        cancel();
        channel.shutdownNow();
    }
}
