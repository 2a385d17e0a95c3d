import java.util.List;
import java.util.Map;

/** The coordinator breaks off once; from then on, whoever asks it waits 2 s for the first frame. */
final class SlowList {
    private static final int FIRST_FRAME_MS = 2000;
    private static final int TOLD_AFTER_MS = 4000;
    private static final int GRACE_MS = 250 + 50;

    public static void main(String[] args) {
        Rig.run(100, SlowList::test);
    }

    private static String test() throws Exception {
        Rig.Server draining = new Rig.Server(0x10);
        Rig.Server other = new Rig.Server(0x11);
        draining.start();
        other.start();
        Rig.Coordinator coordinator = new Rig.Coordinator(1).start();
        Rig.Node node = new Rig.Node("n0", Rig.settings(Map.of()));
        node.writeConfig(coordinator.port, 1, List.of(draining, other));
        Rig.Caller caller = node.startAndConnect("caller");
        Rig.need(Rig.await(3000, () -> !coordinator.watches.isEmpty()), "the node follows the coordinator");
        caller.bye(caller.establish("simulacion", 3000, 0));
        if (Rig.TROUBLE) {
            coordinator.firstFrameMs = FIRST_FRAME_MS;
        }
        double began = Rig.now();
        Rig.log("the coordinator breaks off" + (Rig.TROUBLE ? " and is slow from now on" : ""));
        coordinator.breakOff();
        coordinator.tell(draining, 0, 1, 0);
        double limit = began + TOLD_AFTER_MS + GRACE_MS;
        while (Rig.now() < began + 15_000) {
            String id = caller.setUp("simulacion", 3000, 0);
            if (Rig.await(1000, () -> caller.answers.containsKey(id)) && caller.answers.get(id).status() == 200) {
                caller.bye(id);
            }
            Thread.sleep(200);
        }
        long late = draining.setUpTimes.stream().filter(t -> t > limit).count();
        Rig.log("the node asked the coordinator " + coordinator.asked + " times; " + late
                + " set-ups reached the draining server later than " + (TOLD_AFTER_MS + GRACE_MS) + " ms");
        return late == 0 ? null : late + " set-ups to a draining server after the drain counted as told";
    }
}
