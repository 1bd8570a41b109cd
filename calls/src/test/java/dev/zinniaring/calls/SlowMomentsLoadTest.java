package dev.zinniaring.calls;

import static org.assertj.core.api.Assertions.assertThat;

import dev.zinniaring.kernel.ManualClock;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Plays the load that {@link SlowMoments} answers: servers whose work takes 2.5 times as long for
 * 0.15 of the time, in moments of 600 ms. Each server tells it with each answer.
 */
class SlowMomentsLoadTest {
    private static final int SERVERS = 12;
    private static final int CALLS_A_SECOND = 150;
    private static final long MOMENT_MILLIS = 600;
    private static final double SLOW_SHARE = 0.15;
    private static final double SLOWDOWN = 2.5;
    private static final long MEAN_MILLIS = 140;
    private static final long TARGET_MILLIS = 500;
    private static final int SECONDS = 300;

    private final ManualClock clock = ManualClock.startingAt(Instant.EPOCH);
    private final SplittableRandom random = new SplittableRandom(5);
    private final List<Server> servers = new ArrayList<>();
    private final List<Running> running = new ArrayList<>();
    private int late;
    private int placedAgain;

    private final class Server {
        private final SlowMoments slowMoments = new SlowMoments(clock);
        private double slowdown = 1;
    }

    private record Running(Server server, long endMillis) {}

    private long nowMillis() {
        return clock.nanos() / 1_000_000L;
    }

    private void call(boolean mayGoElsewhere) {
        int first = random.nextInt(SERVERS);
        Server chosen = servers.get(first);
        long expectedNanos = MEAN_MILLIS * 1_000_000L;
        if (mayGoElsewhere
                && chosen.slowMoments.shouldGoElsewhere(
                        expectedNanos, TARGET_MILLIS * 1_000_000L)) {
            placedAgain++;
            chosen = servers.get((first + 1 + random.nextInt(SERVERS - 1)) % SERVERS);
        }
        double normal = 0;
        for (int i = 0; i < 12; i++) {
            normal += random.nextDouble();
        }
        double spread = Math.exp(0.6 * (normal - 6) - 0.18);
        long runMillis = (long) (MEAN_MILLIS * chosen.slowdown * spread);
        late += runMillis > TARGET_MILLIS ? 1 : 0;
        running.add(new Running(chosen, nowMillis() + runMillis));
    }

    /** Returns the share of calls that miss their target. */
    private double play(boolean mayGoElsewhere) {
        for (int i = 0; i < SERVERS; i++) {
            servers.add(new Server());
        }
        int calls = 0;
        for (long milli = 0; milli < SECONDS * 1_000L; milli++) {
            if (milli % MOMENT_MILLIS == 0) {
                servers.forEach(
                        server ->
                                server.slowdown = random.nextDouble() < SLOW_SHARE ? SLOWDOWN : 1);
            }
            if (random.nextDouble() < CALLS_A_SECOND / 1_000.0) {
                calls++;
                call(mayGoElsewhere);
            }
            clock.advance(Duration.ofMillis(1));
            running.removeIf(this::ended);
        }
        return late / (double) calls;
    }

    private boolean ended(Running call) {
        if (call.endMillis() > nowMillis()) {
            return false;
        }
        call.server().slowMoments.answered(new NamedLoad(3, 0, 6, call.server().slowdown));
        return true;
    }

    @Test
    void fewerCallsAreLateIfTheyAvoidServersInTheirSlowMoments() {
        double without = new SlowMomentsLoadTest().play(false);
        double with = play(true);
        assertThat(with).isLessThan(0.75 * without);
        assertThat(placedAgain).isLessThan(SECONDS * CALLS_A_SECOND / 5);
    }

    /** Servers that do not tell, or something that cannot be read, are used as before. */
    @ParameterizedTest
    @ValueSource(strings = {"3,0,6", "3,0,6,", "3,0,6,x", "3,0,6,-5", "3,0,6,NaN", "", "100"})
    void aLoadWithoutASlowdownChangesNothing(String load) {
        SlowMoments moments = new SlowMoments(clock);
        moments.answered(NamedLoad.read(load));
        moments.answered(null);
        assertThat(moments.slowdown()).isEqualTo(1);
        assertThat(moments.shouldGoElsewhere(400_000_000L, 500_000_000L)).isFalse();
    }

    @Test
    void whatAServerSaidIsForgottenSoon() {
        SlowMoments moments = new SlowMoments(clock);
        moments.answered(NamedLoad.read("3,0,6,250"));
        assertThat(moments.slowdown()).isEqualTo(2.5);
        clock.advance(Duration.ofMillis(500));
        assertThat(moments.slowdown()).isEqualTo(1);
    }
}
