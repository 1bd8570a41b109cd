package dev.zinniaring.membership;

import dev.zinniaring.kernel.Scheduler;
import dev.zinniaring.transport.Message;
import dev.zinniaring.transport.MessageCodec;
import dev.zinniaring.transport.Network;
import dev.zinniaring.transport.Peer;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.Queue;
import java.util.SplittableRandom;

/** A simulated process: its network, its timers and its membership. */
final class SimNode implements Network, Scheduler {
    private static final Duration READ_DELAY = Duration.ofMillis(150);

    final GossipMembership membership;
    private final SimMesh mesh;
    private final Peer self;
    private final long life;
    private final Map<Class<?>, Handler<Message>> handlers = new HashMap<>();
    private final Queue<Runnable> unread = new ArrayDeque<>();
    private boolean running = true;
    private boolean paused;

    SimNode(SimMesh mesh, Peer self, long life, SplittableRandom random) {
        this.mesh = mesh;
        this.self = self;
        this.life = life;
        this.membership =
                GossipMembership.builder()
                        .network(this)
                        .scheduler(this)
                        .clock(mesh.clock)
                        .random(random)
                        .seeds(mesh.seeds)
                        .build();
    }

    boolean isRunning() {
        return running;
    }

    boolean isPaused() {
        return paused;
    }

    void crash() {
        running = false;
        membership.stop();
    }

    void pause() {
        paused = true;
    }

    /**
     * Resumes the process; overdue timers run before the messages queued in its sockets are read.
     */
    void resume() {
        paused = false;
        mesh.scheduler.after(READ_DELAY, this::readAll);
    }

    private void readAll() {
        while (!unread.isEmpty() && !paused) {
            unread.remove().run();
        }
    }

    void receive(Peer from, Message message) {
        if (!running) {
            return;
        }
        if (paused) {
            unread.add(() -> receive(from, message));
            return;
        }
        Handler<Message> handler = handlers.get(message.getClass());
        if (handler != null) {
            handler.onMessage(from, message);
        }
    }

    @Override
    public Peer self() {
        return self;
    }

    @Override
    public long incarnation() {
        return life;
    }

    @Override
    public <M extends Message> void registerHandler(MessageCodec<M> codec, Handler<M> handler) {
        handlers.put(
                codec.messageClass(),
                (from, message) -> handler.onMessage(from, codec.messageClass().cast(message)));
    }

    @Override
    public void send(Peer to, Message message) {
        mesh.frame(self, to.controlAddress(), to.nodeId(), message);
    }

    @Override
    public void send(InetSocketAddress to, Message message) {
        mesh.frame(self, to, null, message);
    }

    @Override
    public void sendDatagram(Peer to, Message message) {
        mesh.datagram(self, to, message);
    }

    @Override
    public Cancellable after(Duration delay, Runnable task) {
        return mesh.scheduler.after(delay, () -> run(task));
    }

    @Override
    public Cancellable every(Duration period, Runnable task) {
        return mesh.scheduler.every(period, () -> run(task));
    }

    @Override
    public void execute(Runnable task) {
        mesh.scheduler.execute(() -> run(task));
    }

    private void run(Runnable task) {
        if (running && !paused) {
            task.run();
        }
    }
}
