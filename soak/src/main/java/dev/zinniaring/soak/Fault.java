package dev.zinniaring.soak;

import dev.zinniaring.standins.RowStoreServer;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * A kind of fault that a run can inject.
 *
 * @param name name of the kind in reports
 * @param planned whether it is planned maintenance, which callers must not notice
 * @param meshWide whether it affects every node, such as a fault of the store
 * @param begin injects the fault at the node with the given index
 * @param end removes the fault
 */
record Fault(
        String name,
        boolean planned,
        boolean meshWide,
        BiConsumer<Fleet, Integer> begin,
        BiConsumer<Fleet, Integer> end) {
    private static final long DELAY_MILLIS = 120;

    /** Kinds that a run draws in addition if asked to; seeds without them play as before. */
    static final List<Fault> ADDED =
            List.of(
                    server("server-limited", ObservedServer.Fault.LIMITED),
                    meshWide("store-restored", Fleet::copyStore, Fleet::restoreStore));

    /** Name of the fault during which a request ends the servers that run it. */
    static final String ENDING_REQUEST = "ending-request";

    /** Kinds that a run draws in addition, after the added ones, if asked to. */
    static final List<Fault> ODD =
            List.of(
                    meshWide(ENDING_REQUEST, Fleet::startEndingRequest, Fleet::stopEndingRequest),
                    new Fault("odd-rows", false, false, Fleet::writeOddRows, (fleet, index) -> {}),
                    server("refusals-repeated", ObservedServer.Fault.REFUSING),
                    server("heads-broken", ObservedServer.Fault.BREAKING_OFF));

    /** Kinds that a run draws in addition while its servers stutter. */
    static final List<Fault> STUTTER =
            List.of(
                    node("kill", false, NodeProcess::kill, NodeProcess::start),
                    node("pause", false, NodeProcess::pause, NodeProcess::resume),
                    node("terminate", true, NodeProcess::terminate, NodeProcess::start),
                    new Fault(
                            "address-taken-over",
                            false,
                            false,
                            Fleet::takeOver,
                            (fleet, index) -> fleet.member(index).process().start()));

    /** All kinds that a run may draw. */
    static final List<Fault> ALL =
            List.of(
                    node("kill", false, NodeProcess::kill, NodeProcess::start),
                    node("terminate", true, NodeProcess::terminate, NodeProcess::start),
                    node("pause", false, NodeProcess::pause, NodeProcess::resume),
                    node("reload", true, NodeProcess::reload, process -> {}),
                    peerLink("peers-silent", LoopbackProxy.Mode.SILENT),
                    peerLink("peers-cannot-reach", LoopbackProxy.Mode.REQUESTS_CUT),
                    peerLink("peers-get-no-answers", LoopbackProxy.Mode.ANSWERS_CUT),
                    peerLink("peers-refused", LoopbackProxy.Mode.RESET),
                    atMember("peers-reset", member -> member.toNode().resetOnce(), member -> {}),
                    atMember(
                            "peers-delayed",
                            member -> member.toNode().delayMillis(DELAY_MILLIS),
                            member -> member.toNode().delayMillis(0)),
                    storeLink("store-unreachable", LoopbackProxy.Mode.SILENT),
                    storeLink("store-refused", LoopbackProxy.Mode.RESET),
                    storeLink("store-answers-cut", LoopbackProxy.Mode.ANSWERS_CUT),
                    store("store-busy", RowStoreServer.Fault.BUSY),
                    store("store-throttled", RowStoreServer.Fault.THROTTLED),
                    store("store-silent", RowStoreServer.Fault.SILENT),
                    store("store-answers-lost", RowStoreServer.Fault.ANSWERS_LOST),
                    delayedWrites(),
                    meshWide(
                            "store-slow",
                            fleet -> fleet.store().delayMillis(4 * DELAY_MILLIS),
                            fleet -> fleet.store().delayMillis(0)),
                    meshWide(
                            "store-history-lost",
                            fleet -> fleet.store().dropHistory(),
                            fleet -> {}),
                    new Fault(
                            "configuration",
                            true,
                            true,
                            (fleet, index) -> fleet.operator().change(),
                            (fleet, index) -> {}),
                    server("server-slow", ObservedServer.Fault.SLOW),
                    server("server-failing", ObservedServer.Fault.FAILING),
                    server("server-silent", ObservedServer.Fault.SILENT),
                    atMember(
                            "server-crash",
                            member -> member.server().crash(),
                            member -> member.server().restart()),
                    new Fault(
                            "server-leaves",
                            true,
                            false,
                            (fleet, index) -> fleet.member(index).server().leave(),
                            (fleet, index) -> {}));

    private static Fault node(
            String name, boolean planned, Consumer<NodeProcess> begin, Consumer<NodeProcess> end) {
        return new Fault(
                name,
                planned,
                false,
                (fleet, index) -> begin.accept(fleet.member(index).process()),
                (fleet, index) -> end.accept(fleet.member(index).process()));
    }

    private static Fault atMember(
            String name, Consumer<Fleet.Member> begin, Consumer<Fleet.Member> end) {
        return new Fault(
                name,
                false,
                false,
                (fleet, index) -> begin.accept(fleet.member(index)),
                (fleet, index) -> end.accept(fleet.member(index)));
    }

    private static Fault peerLink(String name, LoopbackProxy.Mode mode) {
        return atMember(
                name,
                member -> member.toNode().mode(mode),
                member -> member.toNode().mode(LoopbackProxy.Mode.PASS));
    }

    private static Fault storeLink(String name, LoopbackProxy.Mode mode) {
        return atMember(
                name,
                member -> member.toStore().mode(mode),
                member -> member.toStore().mode(LoopbackProxy.Mode.PASS));
    }

    private static Fault meshWide(String name, Consumer<Fleet> begin, Consumer<Fleet> end) {
        return new Fault(
                name,
                false,
                true,
                (fleet, index) -> begin.accept(fleet),
                (fleet, index) -> end.accept(fleet));
    }

    private static Fault store(String name, RowStoreServer.Fault fault) {
        return meshWide(
                name,
                fleet -> fleet.store().fault(fault),
                fleet -> fleet.store().fault(RowStoreServer.Fault.NONE));
    }

    private static Fault delayedWrites() {
        return meshWide(
                "store-writes-late",
                fleet -> fleet.store().fault(RowStoreServer.Fault.WRITES_HELD_BACK),
                fleet -> {
                    fleet.store().fault(RowStoreServer.Fault.NONE);
                    fleet.store().writeHeldBack();
                });
    }

    private static Fault server(String name, ObservedServer.Fault fault) {
        return atMember(
                name,
                member -> member.server().fault(fault),
                member -> member.server().fault(ObservedServer.Fault.NONE));
    }
}
