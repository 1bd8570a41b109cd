package dev.zinniaring.model;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class TablesCodecTest {
    private static final String VALID =
            """
            {"ranks": [{"name": "urgent", "order": 0, "worth": 10, "floorShare": 0.1}],
             "routes": [{"name": "orders", "pathPrefix": "/orders", "methods": ["POST"],
                         "rank": "urgent", "deadlineMillis": 2000, "pool": "orders"}],
             "pools": [{"name": "orders", "service": "encomendas"}]}
            """;

    @Test
    void encodingIsIndependentOfSourceOrder() throws InvalidTablesException {
        Tables tables = decode(VALID);
        byte[] body = TablesCodec.encode(tables);
        assertThat(TablesCodec.decode(body)).isEqualTo(tables);
        assertThat(TablesCodec.encode(TablesCodec.decode(body))).isEqualTo(body);
    }

    @Test
    void allProblemsAreReportedTogether() {
        String bad =
                """
                {"routes": [{"name": "a", "pathPrefix": "x", "rank": "r", "deadlineMillis": 0,
                             "pool": "p", "tiemout": 3}]}
                """;
        assertThatThrownBy(() -> decode(bad))
                .isInstanceOf(InvalidTablesException.class)
                .hasMessageContaining("routes[0].pathPrefix")
                .hasMessageContaining("routes[0].deadlineMillis")
                .hasMessageContaining("routes[0].tiemout");
    }

    @ParameterizedTest
    @CsvSource({
        "'\"pool\": \"orders\"', '\"pool\": \"none\"', routes.orders.pool",
        "'\"rank\": \"urgent\"', '\"rank\": \"none\"', routes.orders.rank",
        "'\"floorShare\": 0.1', '\"floorShare\": 1.5', ranks[0].floorShare",
        "'\"service\"', '\"servise\"', pools[0].service"
    })
    void inconsistentTablesAreRejected(String from, String to, String path) {
        assertThatThrownBy(() -> decode(VALID.replace(from, to)))
                .isInstanceOf(InvalidTablesException.class)
                .hasMessageContaining(path);
    }

    private static Tables decode(String text) throws InvalidTablesException {
        return TablesCodec.decode(text.getBytes(StandardCharsets.UTF_8));
    }
}
