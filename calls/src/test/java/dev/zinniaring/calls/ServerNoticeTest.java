package dev.zinniaring.calls;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.util.OptionalDouble;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ServerNoticeTest {
    private static final HeaderNames NAMES = HeaderNames.builder().build();

    private static ServerNotice notice(String name, String value) {
        return ServerNotice.of(new DefaultHttpHeaders().set(name, value), NAMES);
    }

    @Test
    void readsADecimalLimit() {
        assertThat(notice(NAMES.serverLimit(), "26.4"))
                .isEqualTo(new ServerNotice(OptionalDouble.of(26.4), false, false));
    }

    @Test
    void readsThatAServerIsLeaving() {
        assertThat(notice(NAMES.serverLeaving(), "1").leaving()).isTrue();
        assertThat(notice(NAMES.serverLeaving(), "0").leaving()).isFalse();
    }

    /** A limit that cannot be read must neither lift an earlier one nor stop all calls. */
    @ParameterizedTest
    @ValueSource(strings = {"", "many", "-1", "NaN", "Infinity", "1e999"})
    void aLimitThatIsNoFiniteNumberOfAtLeastZeroIsMalformed(String text) {
        assertThat(notice(NAMES.serverLimit(), text))
                .isEqualTo(new ServerNotice(OptionalDouble.empty(), true, false));
    }
}
