package dev.zinniaring.ctl;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.json.JsonMapper;
import org.junit.jupiter.api.Test;

class NodeStatusTest {
    private static final JsonMapper MAPPER = JsonMapper.builder().build();

    private static String line(String answer) throws JsonProcessingException {
        return NodeStatus.of("a:1", MAPPER.readTree(answer)).toString();
    }

    /**
     * Guards against printing version 0, which a node reports if it is not waiting for a version.
     */
    @Test
    void nodeNotWaitingIsNotShownAsWaiting() throws JsonProcessingException {
        assertThat(line("{\"node\":\"n\",\"version\":3,\"ready\":true,\"waitingFor\":0}"))
                .isEqualTo("n  zone   version 3  ready");
    }

    @Test
    void nodeWaitingForVersionShowsItsNumber() throws JsonProcessingException {
        assertThat(line("{\"node\":\"n\",\"version\":3,\"ready\":true,\"waitingFor\":4}"))
                .endsWith("  waits for version 4");
    }

    @Test
    void nodeWithoutFirstVersionShowsWaitingReason() throws JsonProcessingException {
        assertThat(line("{\"node\":\"n\",\"waitingFor\":0,\"waitingReason\":\"first version\"}"))
                .endsWith("  not ready  waits for first version");
    }
}
