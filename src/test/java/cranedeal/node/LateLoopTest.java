package cranedeal.node;

import static org.junit.jupiter.api.Assertions.assertTrue;

import cranedeal.LoadBalancer.Request;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * A balancer whose loop is busy while events gather in the kernel. The test keeps the loop busy itself, and
 * what comes first meanwhile is handled first.
 */
@Timeout(60)
class LateLoopTest {

    private static final int LATE_MS = 300;
    /** The node's clock and the system's start within a millisecond of each other. */
    private static final double CLOCKS_MS = 2;

    private interface Job {
        void run() throws Exception;
    }

    /** Does something while the loop can do nothing else. */
    private static void keepBusy(Stage stage, Job job) throws Exception {
        stage.node.onLoop((frontend, upstreams) -> {
            try {
                job.run();
                return null;
            } catch (Exception e) {
                throw new IllegalStateException(e);
            }
        });
    }

    private static Peer healthyCaller(Stage stage) throws Exception {
        Peer caller = stage.caller();
        caller.write("GET /_health HTTP/1.1\r\n\r\n");
        caller.read();
        return caller;
    }

    @Test
    void aRequestsTimeRunsWhileItLiesUnread() throws Exception {
        try (Stage stage = new Stage().start()) {
            Peer caller = healthyCaller(stage);
            LinkedBlockingQueue<Request> requests = new LinkedBlockingQueue<>();
            stage.script.onRequest = requests::add;
            double[] writtenAt = new double[1];
            keepBusy(stage, () -> {
                caller.write(Stage.get("1", "10"));
                writtenAt[0] = stage.node.now();
                TimeUnit.MILLISECONDS.sleep(LATE_MS);
            });
            double deadline = Script.next(requests).deadline();
            assertTrue(deadline <= writtenAt[0] + 10_000 + CLOCKS_MS,
                    deadline - writtenAt[0] + " ms from when it was written");
        }
    }

    @Test
    void aRequestsTimeRunsWhileItsConnectionWaitsToBeLetIn() throws Exception {
        try (Stage stage = new Stage().start()) {
            healthyCaller(stage);
            LinkedBlockingQueue<Request> requests = new LinkedBlockingQueue<>();
            stage.script.onRequest = requests::add;
            double[] writtenAt = new double[1];
            keepBusy(stage, () -> {
                stage.caller().write(Stage.get("1", "10"));
                writtenAt[0] = stage.node.now();
                TimeUnit.MILLISECONDS.sleep(LATE_MS);
            });
            double deadline = Script.next(requests).deadline();
            assertTrue(deadline <= writtenAt[0] + 10_000 + CLOCKS_MS,
                    deadline - writtenAt[0] + " ms from when it was written");
        }
    }
}
