package dev.zinniaring.sidecar;

import dev.zinniaring.accounts.Account;
import dev.zinniaring.accounts.AccountTable;
import dev.zinniaring.accounts.AccountUsage;
import dev.zinniaring.accounts.KeyFreshness;
import dev.zinniaring.accounts.QuotaCoordinator;
import dev.zinniaring.accounts.QuotaShares;
import dev.zinniaring.calls.Answer;
import dev.zinniaring.calls.CallCounters;
import dev.zinniaring.calls.Configuration;
import dev.zinniaring.calls.Exchange;
import dev.zinniaring.kernel.Clock;
import dev.zinniaring.kernel.ClockReading;
import dev.zinniaring.kernel.Scheduler;
import dev.zinniaring.rollout.RolloutBoard;
import dev.zinniaring.rollout.VersionShares;
import dev.zinniaring.rollout.VersionSplit;
import dev.zinniaring.store.RowPage;
import dev.zinniaring.store.RowStore;
import java.time.Duration;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.IntSupplier;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * What the nodes agree on beyond the configuration: quotas of accounts, and which versions of
 * backend servers get calls. One node leads ({@link Leadership}); every node reports to it twice a
 * second what it has seen, and gets its decisions back. Without a leader each node goes on with
 * what it may decide alone. Idle unless the configuration declares quotas or the settings ask for
 * roll-outs. Used on the event loop only.
 */
final class Coordination {
    /** Path at which a node takes the reports of others. */
    static final String PATH = "/peer/control";

    private static final Logger log = LoggerFactory.getLogger("control");
    private static final Duration PERIOD = Duration.ofMillis(250);

    /** Shortest time between two lines about the accounts that are held back. */
    private static final Duration HELD_BACK_LOG_PERIOD = Duration.ofSeconds(1);

    /** A node reports in every second round; the leader decides in each. */
    private static final int ROUNDS_PER_REPORT = 2;

    /** Reports without an answer after which the leader's address is looked for again. */
    private static final int MAX_FAILED_REPORTS = 3;

    private static final int OK = 200;
    private static final int CONFLICT = 409;
    private static final int BAD_REQUEST = 400;

    private final String nodeId;
    private final ControlSettings settings;
    private final PeerClient client;
    private final Clock clock;
    private final Scheduler scheduler;
    private final CallCounters counters;
    private final Supplier<@Nullable Configuration> configurations;
    private final IntSupplier nodes;
    private final BooleanSupplier candidate;
    private final String ownAddress;
    private final KeyFreshness keys;
    private final QuotaShares quotas;
    private final VersionShares versions;
    private final Leadership leadership;
    private final LeaderReach reach;
    private final RolloutLog rollouts;
    private @Nullable QuotaCoordinator quotaCoordinator;
    private @Nullable RolloutBoard board;
    private String leaderAddress = "";
    private long leaderTerm;
    private int failedReports;
    private int round;
    private boolean keysHeld = true;
    private Map<String, VersionSplit> loggedSplits = Map.of();
    private Set<String> loggedHeldBack = Set.of();
    private long heldBackLoggedNanos;

    /** The counted accounts of the configuration that was looked at last. */
    private @Nullable AccountTable lookedAt;

    private boolean quotasDeclared;

    /**
     * Creates a node that knows of no leader.
     *
     * @param configurations supplies the active configuration
     * @param nodes supplies the number of nodes
     * @param candidate whether this node should lead if no other one does
     * @param ownAddress {@code ip:port} at which other nodes reach this one
     */
    Coordination(
            SidecarSettings sidecar,
            RowStore store,
            RolloutDocuments documents,
            PeerClient client,
            Clock clock,
            Scheduler scheduler,
            RandomGenerator random,
            CallCounters counters,
            Supplier<@Nullable Configuration> configurations,
            IntSupplier nodes,
            BooleanSupplier candidate,
            String ownAddress) {
        this.nodeId = sidecar.nodeId();
        this.settings = sidecar.control();
        this.client = client;
        this.clock = clock;
        this.scheduler = scheduler;
        this.counters = counters;
        this.configurations = configurations;
        this.nodes = nodes;
        this.candidate = candidate;
        this.ownAddress = ownAddress;
        this.keys = new KeyFreshness(clock);
        this.quotas = new QuotaShares(clock, random, nodes);
        this.versions = new VersionShares(clock, random, settings.decidesVersions());
        this.leadership = new Leadership(store, nodeId, ownAddress, scheduler, clock);
        this.reach = new LeaderReach(clock);
        this.rollouts = new RolloutLog(store, documents, scheduler);
        this.heldBackLoggedNanos = clock.nanos();
    }

    /** Starts the periodic work. */
    void start() {
        scheduler.every(PERIOD, this::tick);
    }

    KeyFreshness keys() {
        return keys;
    }

    QuotaShares quotas() {
        return quotas;
    }

    VersionShares versions() {
        return versions;
    }

    /** Returns whether this node leads, and so has to watch the store. */
    boolean leading() {
        return leadership.leading();
    }

    /**
     * Handles rows of the configuration's table, some of which may be orders of roll-outs.
     *
     * @param complete whether the page lists the whole table
     */
    void onOrderRows(RowPage page, boolean complete) {
        if (complete) {
            rollouts.listed(page.rows());
        }
        page.rows().forEach(rollouts::orderChanged);
    }

    /** Returns what this node tells others about keys and the leader. */
    ControlDigest digest() {
        return enabled()
                ? new ControlDigest(keys.ageMillis(), leaderTerm, leaderAddress)
                : ControlDigest.NONE;
    }

    /**
     * Handles what a peer with the same configuration says of keys and the leader.
     *
     * @param asked moment at which it was asked
     */
    void heard(ControlDigest theirs, boolean sameVersion, ClockReading asked) {
        if (sameVersion) {
            keys.confirm(asked, theirs.keyAgeMillis());
        }
        follow(theirs.leaderTerm(), theirs.leaderAddress());
    }

    private void follow(long term, String address) {
        if (term > leaderTerm && !address.isEmpty()) {
            leaderTerm = term;
            leaderAddress = address;
            failedReports = 0;
        }
    }

    /** Gives up the lead, since this node ends. */
    void stop() {
        leadership.release();
    }

    private boolean enabled() {
        return settings.decidesVersions() || settings.keyRevocation() != null || quotasDeclared();
    }

    private boolean quotasDeclared() {
        Configuration active = configurations.get();
        AccountTable accounts = active == null ? AccountTable.EMPTY : active.accounts();
        if (accounts != lookedAt) {
            lookedAt = accounts;
            quotasDeclared = accounts.all().stream().anyMatch(each -> each.quota().limited());
        }
        return quotasDeclared;
    }

    private void tick() {
        logKeys();
        if (!settings.decidesVersions() && !quotasDeclared()) {
            return;
        }
        boolean unled = failedReports > 0 || leaderAddress.isEmpty();
        leadership.tick(candidate.getAsBoolean() && unled && reach.mayLead());
        followRow();
        updateLead();
        rollouts.tick();
        round++;
        if (round % ROUNDS_PER_REPORT == 0) {
            report();
        }
    }

    private void logKeys() {
        Duration bound = settings.keyRevocation();
        if (bound != null && keys.holds(bound) != keysHeld) {
            keysHeld = !keysHeld;
            counters.increment(keysHeld ? "keys_confirmed" : "keys_unconfirmed");
            log.info("keys held={} age_ms={}", keysHeld, keys.ageMillis());
        }
    }

    /** Follows the leader that the row in the store names, while this node has read it. */
    private void followRow() {
        Leadership.Holder holder = leadership.holder();
        if (leadership.leading()) {
            follow(leadership.term(), ownAddress);
        } else if (holder != null && leaderAddress.isEmpty()) {
            leaderAddress = holder.address();
        }
    }

    private void updateLead() {
        boolean leads = leadership.leading();
        if (leads && quotaCoordinator == null) {
            counters.increment("lead_taken");
            reach.heard();
            quotaCoordinator =
                    new QuotaCoordinator(clock, this::accounts, nodes, settings.quotaTolerance());
            RolloutBoard newBoard = new RolloutBoard(clock, settings.exposureShare());
            board = newBoard;
            rollouts.lead(newBoard);
        } else if (leads && reach.shouldGiveUp(nodes.getAsInt())) {
            log.info("gives up the lead, no other node reports");
            leadership.release();
        } else if (!leads && quotaCoordinator != null) {
            counters.increment("lead_lost");
            quotaCoordinator = null;
            board = null;
            rollouts.stopLeading();
        }
    }

    private AccountTable accounts() {
        Configuration active = configurations.get();
        return active == null ? AccountTable.EMPTY : active.accounts();
    }

    private void report() {
        ClockReading asked = ClockReading.of(clock);
        Map<String, AccountUsage> usage = quotas.takeUsage();
        ControlMessages.Report report =
                new ControlMessages.Report(nodeId, usage, versions.takeOutcomes());
        if (leadership.leading()) {
            ControlMessages.Decisions own = decide(report);
            if (own != null) {
                apply(asked, own);
                return;
            }
        }
        if (leaderAddress.isEmpty() || leaderAddress.equals(ownAddress)) {
            quotas.returnUsage(usage);
            failedReports++;
            leaderAddress = "";
            return;
        }
        client.request(
                "POST",
                PATH,
                leaderAddress,
                report.encode(),
                PeerClient.TIMEOUT_MILLIS,
                answer -> onAnswer(asked, answer, usage));
    }

    private void onAnswer(
            ClockReading asked, @Nullable Answer answer, Map<String, AccountUsage> usage) {
        if (answer != null) {
            try {
                apply(asked, ControlMessages.Decisions.decode(answer.body()));
                return;
            } catch (SidecarException e) {
                log.warn("rejected malformed decisions cause=\"{}\"", e.getMessage());
            }
        }
        counters.increment("reports_unanswered");
        quotas.returnUsage(usage);
        failedReports++;
        if (failedReports >= MAX_FAILED_REPORTS) {
            leaderAddress = "";
            leaderTerm = 0;
        }
    }

    private void apply(ClockReading asked, ControlMessages.Decisions decisions) {
        failedReports = 0;
        quotas.answered(asked, decisions.fractions());
        versions.answered(asked, decisions.splits());
    }

    /** Handles the report of another node. */
    void handle(Exchange exchange) {
        reach.heard();
        try {
            ControlMessages.Decisions decisions =
                    leadership.leading()
                            ? decide(ControlMessages.Report.decode(exchange.body()))
                            : null;
            exchange.answer(
                    decisions == null ? Answer.of(CONFLICT) : Answer.bytes(OK, decisions.encode()));
        } catch (SidecarException e) {
            log.warn("rejected malformed report cause=\"{}\"", e.getMessage());
            exchange.answer(Answer.of(BAD_REQUEST));
        }
    }

    private ControlMessages.@Nullable Decisions decide(ControlMessages.Report report) {
        QuotaCoordinator coordinator = quotaCoordinator;
        RolloutBoard decided = board;
        if (coordinator == null || decided == null) {
            return null;
        }
        coordinator.report(report.nodeId(), report.usage());
        decided.observe(report.outcomes());
        Map<String, VersionSplit> splits = decided.splits();
        if (!splits.equals(loggedSplits)) {
            log.info("divides calls between versions splits={}", splits);
            loggedSplits = splits;
        }
        Map<String, Double> fractions = coordinator.fractions();
        logHeldBack(fractions);
        return new ControlMessages.Decisions(fractions, splits);
    }

    private void logHeldBack(Map<String, Double> fractions) {
        boolean due = clock.nanos() - heldBackLoggedNanos >= HELD_BACK_LOG_PERIOD.toNanos();
        if (due && !fractions.keySet().equals(loggedHeldBack)) {
            loggedHeldBack = Set.copyOf(fractions.keySet());
            heldBackLoggedNanos = clock.nanos();
            log.info("holds back accounts fractions={}", fractions);
        }
    }

    /** Returns the state, for operators; it names no key. */
    @Override
    public String toString() {
        StringBuilder text = new StringBuilder(leadership.toString());
        text.append(" leader=").append(leaderAddress).append(" keys_age_ms=");
        text.append(keys.ageMillis()).append(" coordinated=").append(quotas.coordinated());
        text.append(" held_back=").append(quotas.fractions());
        text.append(" rollouts=").append(versions.splits());
        QuotaCoordinator coordinator = quotaCoordinator;
        if (coordinator != null) {
            text.append(" reporting=").append(coordinator.reportingNodes()).append(" left={");
            for (Account account : accounts().all()) {
                if (account.quota().limited()) {
                    text.append(account.name()).append('=');
                    text.append(Math.round(coordinator.tokens(account))).append(' ');
                }
            }
            text.append('}');
        }
        return text.toString();
    }
}
