package damsonseam.front;

import damsonseam.RoutingPolicy.ServerState;
import damsonseam.core.Router;
import damsonseam.core.RouterPorts;
import damsonseam.core.ServerList;
import damsonseam.directory.wire.Entry;
import damsonseam.directory.wire.FollowRequest;
import damsonseam.directory.wire.PoolDirectoryGrpc;
import damsonseam.directory.wire.Update;
import damsonseam.loop.CoreLoop;
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
 * Client of the pool directory's update stream. Updates are handed to the front's event loop in order. When the stream
 * breaks, the routing policy is notified and requests a new one; the server list stays unchanged until the next
 * update. Confined to the event loop, except for the gRPC callbacks, which submit tasks to it.
 */
final class DirectoryClient implements RouterPorts.Directory {
    private static final Logger LOG = LoggerFactory.getLogger(DirectoryClient.class);
    private static final int MAX_MESSAGE_BYTES = 1 << 20;

    private final CoreLoop loop;
    private final String frontName;
    private final ManagedChannel channel;
    private Router router;
    private TrunkLinks trunks;
    private Context.CancellableContext streamContext;
    private long generation;

    DirectoryClient(CoreLoop loop, String frontName, InetSocketAddress address) {
        this.loop = loop;
        this.frontName = frontName;
        channel = NettyChannelBuilder.forAddress(address)
                .usePlaintext()
                .maxInboundMessageSize(MAX_MESSAGE_BYTES)
                .keepAliveTime(30, TimeUnit.SECONDS)
                .keepAliveTimeout(2, TimeUnit.SECONDS)
                .build();
    }

    void start(Router router, TrunkLinks trunks) {
        this.router = router;
        this.trunks = trunks;
        subscribeToUpdates();
    }

    @Override
    public void requestServerList() {
        openStream(0);
    }

    @Override
    public void subscribeToUpdates() {
        if (streamContext == null) {
            openStream(router.serverList().version());
        }
    }

    /** Opens a stream, replacing an open one; events of the old stream that arrive later are ignored. */
    private void openStream(long knownVersion) {
        cancelStream();
        long streamGeneration = ++generation;
        streamContext = Context.ROOT.withCancellation();
        FollowRequest request = FollowRequest.newBuilder()
                .setFront(frontName)
                .setKnownVersion(knownVersion)
                .build();
        streamContext.run(
                () -> PoolDirectoryGrpc.newStub(channel).withWaitForReady().follow(request, new StreamObserver<>() {
                    @Override
                    public void onNext(Update update) {
                        executeOnLoop(() -> onUpdate(streamGeneration, update));
                    }

                    @Override
                    public void onError(Throwable error) {
                        executeOnLoop(() -> onStreamClosed(streamGeneration, error.getMessage()));
                    }

                    @Override
                    public void onCompleted() {
                        executeOnLoop(() -> onStreamClosed(streamGeneration, "closed by the directory"));
                    }
                }));
    }

    /** Submits a task to the event loop; dropped if the front is shutting down. */
    private void executeOnLoop(Runnable task) {
        if (!loop.eventLoop().isShuttingDown()) {
            loop.eventLoop().execute(task);
        }
    }

    private void onUpdate(long streamGeneration, Update update) {
        if (streamGeneration != generation) {
            return;
        }
        double now = loop.now();
        boolean versionGap;
        try {
            versionGap = router.serverListUpdated(now, update.getVersion(), update.getFull(), servers(update, now));
        } catch (IllegalArgumentException entry) {
            LOG.atWarn()
                    .addKeyValue("version", update.getVersion())
                    .addKeyValue("why", entry.getMessage())
                    .log("directory update refused");
            return;
        }
        LOG.atInfo()
                .addKeyValue("version", update.getVersion())
                .addKeyValue("full", update.getFull())
                .addKeyValue("entries", update.getEntriesCount())
                .log("directory update");
        trunks.applyServerList(router.serverList());
        if (versionGap) {
            requestServerList();
        }
        loop.scheduleBatchEnd();
    }

    private static List<ServerList.Server> servers(Update update, double now) {
        List<ServerList.Server> servers = new ArrayList<>(update.getEntriesCount());
        for (Entry entry : update.getEntriesList()) {
            ServerState state =
                    switch (entry.getState()) {
                        case RUNNING -> ServerState.RUNNING;
                        case DRAINING -> ServerState.DRAINING;
                        case GONE -> ServerState.GONE;
                        default -> throw new IllegalArgumentException("server " + entry.getServer() + " has no state");
                    };
            if (entry.getServer().isEmpty() || state != ServerState.GONE) {
                damsonseam.config.Endpoint.parse(entry.getAddress());
            }
            servers.add(new ServerList.Server(
                    entry.getServer(),
                    entry.getNumber(),
                    entry.getAddress(),
                    entry.getPointCode(),
                    state,
                    entry.hasAgeMs() ? OptionalDouble.of(now - entry.getAgeMs()) : OptionalDouble.empty()));
        }
        return servers;
    }

    private void onStreamClosed(long streamGeneration, String reason) {
        if (streamGeneration == generation) {
            LOG.atWarn().addKeyValue("why", reason).log("directory stream broke");
            cancelStream();
            router.directoryFailed(loop.now());
            loop.scheduleBatchEnd();
        }
    }

    private void cancelStream() {
        generation++;
        if (streamContext != null) {
            streamContext.cancel(null);
            streamContext = null;
        }
    }

    void close() {
        cancelStream();
        channel.shutdownNow();
    }
}
