package dev.zinniaring.node;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import dev.zinniaring.kernel.Problem;
import dev.zinniaring.kernel.SettingsException;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class NodeSettingsTest {
    private static final String GOOD =
            """
            {"mesh": "m", "nodeId": "n1", "zone": "a", "region": "r",
             "callAddress": "127.0.0.1:8080", "peerCallAddress": "127.0.0.1:8081",
             "controlAddress": "127.0.0.1:8082", "announceAddress": "127.0.0.1:8083",
             "adminAddress": "[::1]:8084", "seeds": ["127.0.0.1:8082"],
             "platform": {"tableUrl": "http://127.0.0.1:9000",
                          "objectUrl": "http://127.0.0.1:9000", "timeoutMillis": 500},
             "limits": {"maxBodyBytes": 1000, "drainMillis": 5000}, "log": {"json": true}}
            """;

    @Test
    void parsesCompleteSettings() throws SettingsException {
        NodeSettings settings = NodeSettings.parse(GOOD);

        assertThat(settings.nodeId()).isEqualTo("n1");
        assertThat(settings.adminAddress().getPort()).isEqualTo(8084);
        assertThat(settings.limits().maxBodyBytes()).isEqualTo(1000);
        assertThat(settings.limits().maxHeaders()).isEqualTo(Limits.DEFAULT.maxHeaders());
        assertThat(settings.log().json()).isTrue();
    }

    /** Guards against accepting settings with an invalid field. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "\"mesh\": \"m\"             | \"mesh\": \"M M\"             | mesh",
                "\"mesh\": \"m\",            | ''                            | mesh",
                "\"nodeId\": \"n1\"          | \"nodeId\": 7                 | nodeId",
                "127.0.0.1:8080              | localhost:8080                | callAddress",
                "127.0.0.1:8081              | 127.0.0.1                     | peerCallAddress",
                "127.0.0.1:8083              | 127.0.0.1:65536               | announceAddress",
                "[::1]:8084                  | ::1:8084                      | adminAddress",
                "[\"127.0.0.1:8082\"]        | []                            | seeds",
                "[\"127.0.0.1:8082\"]        | [\"127.0.0.1:0\"]             | seeds",
                "\"maxBodyBytes\": 1000      | \"maxBodyBytes\": 0           | limits.maxBodyBytes",
                "\"maxBodyBytes\": 1000      | \"maxBodyBytse\": 5           | limits.maxBodyBytse",
                "\"timeoutMillis\": 500      | \"timeoutMillis\": \"2s\"     |"
                        + " platform.timeoutMillis",
                "\"json\": true              | \"json\": 1                   | log.json",
                "\"region\": \"r\"           | \"region\": \"r\", \"x\": 1   | x",
            })
    void reportsAProblemAtThePathOfItsField(String good, String bad, String path) {
        String text = GOOD.replace(good, bad == null ? "" : bad);

        SettingsException refused =
                catchThrowableOfType(SettingsException.class, () -> NodeSettings.parse(text));

        assertThat(refused).isNotNull();
        assertThat(refused.problems()).extracting(Problem::path).contains(path);
    }

    /** Guards against reporting only the first problem, which would need one start per problem. */
    @Test
    void reportsAllProblemsAtOnce() {
        String text = GOOD.replace("127.0.0.1:8080", "x").replace("\"n1\"", "\"N 1\"");

        SettingsException refused =
                catchThrowableOfType(SettingsException.class, () -> NodeSettings.parse(text));

        assertThat(List.copyOf(refused.problems()))
                .extracting(Problem::path)
                .containsExactly("nodeId", "callAddress");
    }
}
