package dev.zinniaring.calls;

import static org.assertj.core.api.Assertions.assertThat;

import dev.zinniaring.accounts.Account;
import dev.zinniaring.accounts.AccountTable;
import dev.zinniaring.accounts.KeyFreshness;
import dev.zinniaring.accounts.Quota;
import dev.zinniaring.accounts.QuotaShares;
import dev.zinniaring.kernel.ClockReading;
import dev.zinniaring.kernel.ManualClock;
import dev.zinniaring.model.Route;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

class AccountGateTest {
    private static final Duration BOUND = Duration.ofSeconds(5);
    private static final HeaderNames NAMES = HeaderNames.builder().build();
    private static final Account ACCOUNT = new Account("acme", 0, Quota.of(4, 4));

    private final ManualClock clock = ManualClock.startingAt(Instant.EPOCH);
    private final KeyFreshness freshness = new KeyFreshness(clock);
    private final QuotaShares quotas = new QuotaShares(clock, new SplittableRandom(1), () -> 1);
    private final AccountGate gate = new AccountGate(NAMES, freshness, BOUND, quotas);

    AccountGateTest() {
        freshness.confirm(ClockReading.of(clock), 0);
    }

    private static AccountTable accounts() {
        AccountTable.Builder table = AccountTable.builder();
        table.add(ACCOUNT, List.of("key"));
        return table.build();
    }

    private static CallRoute route(boolean keyless) {
        Route route = new Route("r", "h", "/", new TreeSet<>(), "k", true, 500, 1, "p");
        return new CallRoute(route, 3, WeightedRoundRobin.of(Map.of("s", 1)), keyless);
    }

    private AccountGate.Verdict check(HttpHeaders headers) {
        return gate.check(accounts(), route(false), headers);
    }

    private static HttpHeaders withKeys(String... keys) {
        HttpHeaders headers = new DefaultHttpHeaders(false);
        for (String key : keys) {
            headers.add(NAMES.accountKey(), key);
        }
        return headers;
    }

    @Test
    void theKeyIsReplacedByTheAccountThatHoldsIt() {
        HttpHeaders headers = withKeys("key");
        headers.add(NAMES.account(), "forged");
        AccountGate.Verdict verdict = check(headers);
        assertThat(verdict.refusal()).isNull();
        assertThat(verdict.account()).isEqualTo(ACCOUNT);
        assertThat(headers.names()).isEmpty();
    }

    @Test
    void anOddKeyIsUnauthorized() {
        for (HttpHeaders headers :
                List.of(
                        withKeys(),
                        withKeys(""),
                        withKeys("other"),
                        withKeys("key", "key"),
                        withKeys("k\u00e9y"),
                        withKeys("x".repeat(16_000)))) {
            assertThat(check(headers).refusal().status()).isEqualTo(401);
            assertThat(headers.names()).isEmpty();
        }
    }

    /** A node that hears of nothing cannot tell an unknown key from one that was just added. */
    @Test
    void everyKeyIsRefusedAsNotRunOnceItMayHaveBeenTakenAway() {
        clock.advance(BOUND);
        assertThat(check(withKeys("key")).refusal().status()).isEqualTo(503);
        assertThat(check(withKeys("other")).refusal().status()).isEqualTo(503);
        freshness.confirm(ClockReading.of(clock), 0);
        assertThat(check(withKeys("key")).refusal()).isNull();
    }

    @Test
    void callsOfRoutesWithoutKeysAreNotHeldBack() {
        clock.advance(BOUND);
        HttpHeaders headers = withKeys();
        headers.add(NAMES.account(), "forged");
        assertThat(gate.check(accounts(), route(true), headers).refusal()).isNull();
        assertThat(headers.names()).isEmpty();
    }

    @Test
    void keysMeanNothingWhileNoAccountsAreDeclared() {
        HttpHeaders headers = withKeys("key");
        assertThat(gate.check(AccountTable.EMPTY, route(false), headers).refusal()).isNull();
        assertThat(headers.contains(NAMES.accountKey())).isTrue();
    }

    @Test
    void callsBeyondTheQuotaAreRefusedAndThoseThatDidNotRunAreGivenBack() {
        quotas.answered(ClockReading.of(clock), Map.of("acme", 0.0));
        AccountGate.Refusal refusal = check(withKeys("key")).refusal();
        assertThat(refusal.status()).isEqualTo(429);
        assertThat(refusal.retrySeconds()).isNotNull();
        quotas.answered(ClockReading.of(clock), Map.of());
        quotas.takeUsage();
        gate.giveBack(check(withKeys("key")).account(), route(false));
        assertThat(quotas.takeUsage().get("acme").admitted()).isZero();
    }
}
