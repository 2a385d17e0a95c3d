package damsonseam.standin;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import damsonseam.config.SettingsException;
import damsonseam.node.NodeConfig;
import damsonseam.node.NodeServer;
import damsonseam.sip.SipDecoder;
import damsonseam.sip.SipEncoder;
import damsonseam.sip.SipMessage;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * Starts a front node on loopback and sends some calls through it. This checks that a build works, and loads the
 * classes that a node loads, so that the JVM can archive them for the nodes that start later.
 */
public final class NodeRehearsal {
    private static final int CALL_COUNT = 200;
    private static final int CALL_INTERVAL_MS = 5;
    private static final int COMPLETION_TIMEOUT_S = 20;
    /** A port where nothing listens: the rehearsal includes an unreachable coordinator. */
    private static final String UNREACHABLE_COORDINATOR = "127.0.0.1:9";

    private NodeRehearsal() {}

    /** Runs the rehearsal and returns whether all calls were established. */
    public static boolean run() throws IOException, InterruptedException, SettingsException {
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        CountDownLatch unansweredCalls = new CountDownLatch(CALL_COUNT);
        Path file = Files.createTempFile("rehearsal", ".json");
        try (SipServer server = new SipServer(group)) {
            Files.writeString(file, nodeConfig(server.port()));
            try (NodeServer node = NodeServer.start(NodeConfig.read(file))) {
                Channel caller = new Bootstrap()
                        .group(group)
                        .channel(NioSocketChannel.class)
                        .handler(new ChannelInitializer<SocketChannel>() {
                            @Override
                            protected void initChannel(SocketChannel newChannel) {
                                newChannel.pipeline().addLast(new SipDecoder(), new ResponseHandler(unansweredCalls));
                            }
                        })
                        .connect(node.address())
                        .sync()
                        .channel();
                for (int i = 0; i < CALL_COUNT; i++) {
                    caller.writeAndFlush(SipEncoder.encode(caller.alloc(), newInvite(i)));
                    Thread.sleep(CALL_INTERVAL_MS);
                }
                unansweredCalls.await(COMPLETION_TIMEOUT_S, TimeUnit.SECONDS);
                caller.close().sync();
                node.drain();
            }
        } finally {
            Files.delete(file);
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
        return unansweredCalls.getCount() == 0;
    }

    private static SipMessage newInvite(int call) {
        return SipMessage.request(
                        SipMessage.INVITE,
                        "sip:" + call + "@net",
                        String.format("%016x", call + 1L),
                        1,
                        "description\r\n".getBytes(StandardCharsets.UTF_8))
                .addHeader("X-Cos", "plain")
                .addHeader("X-Timer-Ms", "5000")
                .addHeader("X-Legs", "dest:0;width:1;via:-1");
    }

    private static String nodeConfig(int serverPort) {
        ObjectNode root = new ObjectMapper()
                .createObjectNode()
                .put("name", "rehearsal")
                .put("listen", "127.0.0.1:0")
                .put("seed", "1")
                .put("coordinator", UNREACHABLE_COORDINATOR);
        root.putObject("limits").put("sockets", 256).put("memory_mb", 128);
        ObjectNode update = root.putObject("known")
                .put("index", 1)
                .putArray("updates")
                .addObject()
                .put("index", 1);
        update.putObject("endpoints")
                .put("complete", true)
                .putArray("members")
                .addObject()
                .put("id", "s-00000001")
                .put("host_port", "127.0.0.1:" + serverPort)
                .put("cell", 0)
                .put("phase", "ready");
        ObjectNode settings = root.putObject("settings")
                .put("Balancers", 1)
                .put("Discovery", "push")
                .put("Tick", 1);
        settings.putObject("Caps")
                .put("MaxAttempts", 4)
                .put("MayCancel", true)
                .put("MayProbe", true)
                .put("RetryAfter", true)
                .put("MaxRetryAfter", 2_000);
        settings.putObject("FamilyInfo")
                .put("Guard", 150)
                .putArray("SkilledPools")
                .addArray()
                .add(0);
        settings.putObject("Report").putArray("Fields").add("spare").add("total");
        settings.putArray("RequestClasses")
                .addObject()
                .put("Name", "plain")
                .put("Aim", 400)
                .put("HardLimit", 5_000)
                .put("Worth", 1)
                .put("LateValue", 0.25);
        return root.toString();
    }

    /** Counts the calls answered with 200 and acknowledges them. */
    private static final class ResponseHandler extends SimpleChannelInboundHandler<SipMessage> {
        private final CountDownLatch unansweredCalls;

        ResponseHandler(CountDownLatch unansweredCalls) {
            this.unansweredCalls = unansweredCalls;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, SipMessage message) {
            if (message.status() == SipMessage.OK) {
                ctx.writeAndFlush(SipEncoder.encode(
                        ctx.alloc(), SipMessage.request(SipMessage.ACK, "sip:x@net", message.callId(), 1)));
                unansweredCalls.countDown();
            }
        }
    }
}
