package dev.zinniaring.accounts;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Plays the load that quotas answer: an account that asks for many times its quota at all nodes at
 * once, while nodes, links or the coordinator fail.
 */
class QuotaLoadTest {
    private static final int NODES = 61;

    /** What the accounts of the users' deployments may ask for in an outburst, against usual. */
    private static final double HOT = 7.5;

    private static final double USUAL_SHARE_OF_QUOTA = 1 / 1.6;

    private static QuotaFleet fleet(double perSecond, long seed) {
        return new QuotaFleet(NODES, Quota.of(perSecond, perSecond), seed);
    }

    private static double usual(double perSecond) {
        return perSecond * USUAL_SHARE_OF_QUOTA;
    }

    /** Refusing an account below its quota is the loss of a call that was owed. */
    @ParameterizedTest
    @CsvSource({"0.5,1", "2,2", "9,3", "60,4", "320,5"})
    void anAccountBelowItsQuotaIsHardlyEverRefused(double perSecond, long seed) {
        QuotaFleet fleet = fleet(perSecond, seed);
        fleet.run(Duration.ofSeconds(60), usual(perSecond));
        assertThat(fleet.admitted).isGreaterThanOrEqualTo((int) (0.98 * fleet.wanted));
    }

    @ParameterizedTest
    @CsvSource({"0.5,1", "2,2", "9,3", "60,4", "320,5"})
    void anAccountThatIsSuddenlyHotStaysWithinItsQuotaAndGetsMostOfIt(double perSecond, long seed) {
        QuotaFleet fleet = fleet(perSecond, seed);
        fleet.run(Duration.ofSeconds(10), usual(perSecond));
        fleet.run(Duration.ofSeconds(20), HOT * usual(perSecond));
        assertThat(fleet.mostInAWindow())
                .isLessThanOrEqualTo((int) QuotaFleet.allowed(Quota.of(perSecond, perSecond)));
        double wantedOrQuota = Math.min(fleet.wanted, 20 * perSecond);
        assertThat(fleet.admitted).isGreaterThanOrEqualTo((int) (0.8 * wantedOrQuota));
    }

    /** Without a coordinator, and with one that knows nothing, the sum must still be kept. */
    @ParameterizedTest
    @CsvSource({"0.5,1", "2,2", "9,3", "60,4", "320,5"})
    void aHotAccountStaysWithinItsQuotaWhileTheCoordinatorIsReplaced(double perSecond, long seed) {
        QuotaFleet fleet = fleet(perSecond, seed);
        fleet.run(Duration.ofSeconds(5), HOT * usual(perSecond));
        fleet.stopCoordinator();
        fleet.run(Duration.ofSeconds(4), HOT * usual(perSecond));
        fleet.startCoordinator();
        fleet.run(Duration.ofSeconds(10), HOT * usual(perSecond));
        assertThat(fleet.mostInAWindow())
                .isLessThanOrEqualTo((int) QuotaFleet.allowed(Quota.of(perSecond, perSecond)));
    }

    /** Nodes that are cut off cannot be told of an account that turns hot. */
    @ParameterizedTest
    @CsvSource({"0.5,1", "2,2", "9,3", "60,4", "320,5"})
    void aHotAccountStaysWithinItsQuotaWhileAZoneIsCutOff(double perSecond, long seed) {
        QuotaFleet fleet = fleet(perSecond, seed);
        fleet.run(Duration.ofSeconds(5), usual(perSecond));
        fleet.cut(node -> node % 3 != 0);
        fleet.run(Duration.ofSeconds(2), usual(perSecond));
        fleet.run(Duration.ofSeconds(10), HOT * usual(perSecond));
        fleet.cut(node -> true);
        fleet.run(Duration.ofSeconds(10), HOT * usual(perSecond));
        assertThat(fleet.mostInAWindow())
                .isLessThanOrEqualTo((int) QuotaFleet.allowed(Quota.of(perSecond, perSecond)));
    }

    /** A window allows the rate and the burst, so demand of 1.1 times the rate is owed. */
    @ParameterizedTest
    @CsvSource({"2,2", "60,4", "320,5"})
    void steadyDemandGetsMostOfWhatAWindowAllows(double perSecond, long seed) {
        QuotaFleet fleet = fleet(perSecond, seed);
        fleet.run(Duration.ofSeconds(60), 1.1 * perSecond);
        assertThat(fleet.admitted).isGreaterThanOrEqualTo((int) (0.9 * fleet.wanted));
    }

    @ParameterizedTest
    @CsvSource({"20,4,1", "320,20,2"})
    void aLoweredQuotaIsKeptOneWindowLater(double perSecond, double lowered, long seed) {
        QuotaFleet fleet = fleet(perSecond, seed);
        fleet.run(Duration.ofSeconds(5), usual(perSecond));
        Quota quota = Quota.of(lowered, lowered);
        fleet.quota(quota);
        fleet.run(QuotaFleet.TOLERANCE.window(), usual(perSecond));
        fleet.run(QuotaFleet.TOLERANCE.window(), usual(perSecond));
        assertThat(fleet.admitted).isLessThanOrEqualTo((int) QuotaFleet.allowed(quota));
    }
}
