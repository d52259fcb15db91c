package cranedeal.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** The program under a real limit on descriptors. */
@Timeout(120)
class DescriptorsTest {

    private static final int LIMIT = 128;
    private static final int CROWD = 2 * LIMIT;

    /** Starts the program with so many descriptors as its configuration tells it. */
    private static Process start(Path config) throws IOException {
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", "ulimit -n " + LIMIT + "; exec \""
                + Path.of(System.getProperty("java.home"), "bin", "java") + "\" -cp \"$CLASSES\" "
                + Main.class.getName() + " serve");
        builder.environment().put("CLASSES", System.getProperty("java.class.path"));
        builder.environment().put("PROXY_CONFIG", config.toString());
        return builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.DISCARD).start();
    }

    /** As many as the program's descriptors, and more that wait for one; none of them ever sends. */
    private static List<Peer> crowd(int port) throws IOException {
        List<Peer> idle = new ArrayList<>();
        for (int i = 0; i < CROWD; i++) {
            idle.add(Peer.to(new InetSocketAddress("127.0.0.1", port)));
        }
        return idle;
    }

    /** Has discovery tell a list, whatever calls it has left without an answer so far. */
    private static Peer tell(Listener discovery, String roster) throws Exception {
        while (true) {
            Peer call = discovery.accept();
            try {
                if (call.read() != null) {
                    call.write(Stage.ok(roster));
                    // It has been taken in once the next call is out.
                    if (call.read() != null) {
                        return call;
                    }
                }
            } catch (IOException e) {
                // Given up meanwhile; there is a later one.
            }
        }
    }

    private static void assertGoesTo(Listener upstream, String id, int port) throws Exception {
        try (Peer caller = Peer.to(new InetSocketAddress("127.0.0.1", port))) {
            caller.write(Stage.get(id, "15"));
            Peer taker = upstream.accept();
            assertEquals(id, taker.read().header("X-Txn"));
            taker.write(Stage.ok(id));
            assertEquals(id, caller.read().body());
        }
    }

    @Test
    void idleClientsThatFillTheDescriptorsKeepOutNeitherNewsNorAttempts() throws Exception {
        Path file = Files.createTempFile("node", ".json");
        int port;
        try (ServerSocket free = new ServerSocket(0)) {
            port = free.getLocalPort();
        }
        Process process = null;
        List<Peer> idle = new ArrayList<>();
        try (Stage stage = new Stage(2); Listener second = new Listener()) {
            stage.registryMode = "automatic";
            stage.sockets = LIMIT;
            String[] up = new String[2];
            String[] draining = new String[2];
            for (int i = 0; i < 2; i++) {
                up[i] = Stage.entry(i, stage.upstreams.get(i).address(), "up");
                draining[i] = Stage.entry(i, stage.upstreams.get(i).address(), "draining");
            }
            String config = stage.config().replace("127.0.0.1:0", "127.0.0.1:" + port);
            Files.writeString(file, config);
            process = start(file);
            Peer.toServing(new InetSocketAddress("127.0.0.1", port), process).close();
            // While discovery is silent they come, and wait for each other to go.
            idle.addAll(crowd(port));
            assertTrue(idle.get(0).ended());
            idle.addAll(crowd(port));
            Peer watch = tell(stage.discovery, Stage.roster(42, false, draining[0]));
            assertGoesTo(stage.upstreams.get(1), "first", port);
            // A new watch while the old one is still open on the other side.
            watch.reset();
            idle.addAll(crowd(port));
            tell(stage.discovery, Stage.roster(43, false, up[0], draining[1]));
            assertGoesTo(stage.upstreams.get(0), "second", port);
            Files.writeString(file, config.replace(stage.discovery.address(), second.address()));
            Process hangUp = new ProcessBuilder("kill", "-HUP", Long.toString(process.pid())).start();
            assertEquals(0, hangUp.waitFor());
            idle.addAll(crowd(port));
            tell(second, Stage.roster(7, true, draining[0], up[1]));
            assertGoesTo(stage.upstreams.get(1), "third", port);
        } finally {
            for (Peer one : idle) {
                one.close();
            }
            if (process != null) {
                process.destroyForcibly();
            }
            Files.delete(file);
        }
    }
}
