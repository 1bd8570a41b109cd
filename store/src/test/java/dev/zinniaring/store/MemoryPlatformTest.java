package dev.zinniaring.store;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.junit.jupiter.api.Test;

class MemoryPlatformTest extends PlatformContract {
    @Override
    protected TableService tables() {
        return platform.tables();
    }

    @Override
    protected ObjectStore objects() {
        return platform.objects();
    }

    @Test
    void rejectedRequestsAreCountedByKind() throws PlatformException {
        tables().get("a");
        platform.faults().outage(true);
        assertThatThrownBy(() -> tables().get("a"))
                .isInstanceOf(PlatformUnavailableException.class);
        assertThat(platform.counts().of(RequestKind.GET_ROW)).isEqualTo(2);
        assertThat(platform.counts().reads()).isEqualTo(2);
        assertThat(platform.counts().writes()).isZero();
    }
}
