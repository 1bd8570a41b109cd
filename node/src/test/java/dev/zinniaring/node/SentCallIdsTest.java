package dev.zinniaring.node;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class SentCallIdsTest {
    /** Guards against a connection that forgets an id and carries it again. */
    @Test
    void refusesAnIdThatItHasAndAnyIdOnceItIsFull() {
        SentCallIds ids = new SentCallIds();
        for (int i = 0; i < SentCallIds.MAX_IDS; i++) {
            assertThat(ids.add("c" + i)).isTrue();
            assertThat(ids.add("c" + i / 2)).isFalse();
        }
        assertThat(ids.count()).isEqualTo(SentCallIds.MAX_IDS);
        assertThat(ids.add("another")).isFalse();
    }
}
