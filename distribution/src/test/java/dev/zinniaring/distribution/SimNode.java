package dev.zinniaring.distribution;

import dev.zinniaring.kernel.Scheduler;
import dev.zinniaring.membership.Member;
import dev.zinniaring.membership.MemberState;
import dev.zinniaring.membership.MemberView;
import dev.zinniaring.membership.Membership;
import dev.zinniaring.transport.Message;
import dev.zinniaring.transport.MessageCodec;
import dev.zinniaring.transport.Network;
import dev.zinniaring.transport.Peer;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

/** One incarnation of a node in a simulated mesh, running the real distributions. */
final class SimNode implements Scheduler, Network, Membership {
    final SimMesh mesh;
    final Peer peer;
    final long incarnation;
    final VersionDistribution versions;
    final EndpointDistribution endpoints;
    final List<Listener> listeners = new ArrayList<>();
    private final Map<Class<?>, MessageCodec<?>> codecs = new HashMap<>();
    private final Map<Integer, Receiver<?>> receivers = new HashMap<>();
    private final List<Runnable> deferred = new ArrayList<>();
    boolean dead;
    boolean paused;
    boolean muted;

    private record Receiver<M extends Message>(MessageCodec<M> codec, Handler<M> handler) {
        void receive(Peer from, byte[] bytes) {
            try {
                handler.onMessage(from, codec.read(MessagePack.newDefaultUnpacker(bytes)));
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
    }

    SimNode(SimMesh mesh, Peer peer, long incarnation) {
        this.mesh = mesh;
        this.peer = peer;
        this.incarnation = incarnation;
        versions =
                VersionDistribution.builder()
                        .network(this)
                        .membership(this)
                        .source(mesh.platform.source(peer.zone()))
                        .seeds(mesh.seeds)
                        .ownSeed(mesh.seeds.contains(peer.controlAddress()))
                        .clock(mesh.clock)
                        .scheduler(this)
                        .platformExecutor(task -> after(mesh.platformDelay(), task))
                        .random(mesh.random)
                        .build();
        endpoints =
                EndpointDistribution.builder()
                        .network(this)
                        .membership(this)
                        .clock(mesh.clock)
                        .scheduler(this)
                        .random(mesh.random)
                        .callAddress("10.0.0.1:1")
                        .build();
    }

    void start() {
        versions.start();
        endpoints.start();
    }

    void pause() {
        paused = true;
    }

    void resume() {
        paused = false;
        List<Runnable> tasks = List.copyOf(deferred);
        deferred.clear();
        tasks.forEach(this::run);
    }

    void run(Runnable task) {
        if (dead) {
            return;
        }
        if (paused) {
            deferred.add(task);
        } else {
            task.run();
        }
    }

    void receive(Peer from, int type, byte[] bytes) {
        run(() -> receivers.get(type).receive(from, bytes));
    }

    Member member(MemberState state) {
        return new Member(peer, incarnation, state);
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

    @Override
    public Peer self() {
        return peer;
    }

    @Override
    public long incarnation() {
        return incarnation;
    }

    @Override
    public <M extends Message> void registerHandler(MessageCodec<M> codec, Handler<M> handler) {
        codecs.put(codec.messageClass(), codec);
        receivers.put(codec.type(), new Receiver<>(codec, handler));
    }

    @Override
    public void send(Peer to, Message message) {
        send(to.controlAddress(), message);
    }

    @Override
    public void send(InetSocketAddress to, Message message) {
        @SuppressWarnings("unchecked")
        MessageCodec<Message> codec = (MessageCodec<Message>) codecs.get(message.getClass());
        try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
            codec.write(message, out);
            mesh.transmit(this, to, codec.type(), out.toByteArray());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Override
    public void sendDatagram(Peer to, Message message) {
        send(to, message);
    }

    @Override
    public MemberView view() {
        return new SimView(member(MemberState.ALIVE), mesh.knownMembers(this));
    }

    @Override
    public void subscribe(Listener listener) {
        listeners.add(listener);
    }

    @Override
    public void leave() {}
}
