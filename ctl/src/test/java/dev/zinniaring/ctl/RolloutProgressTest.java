package dev.zinniaring.ctl;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class RolloutProgressTest {
    /**
     * Guards against a wait that ends before every member was queried, for each format in which
     * nodes report their members.
     */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '`',
            value = {
                "{'version': 3}                                          | - | 1 of 1 | true",
                "{'version': 3}                                          | x | 1 of 2 | false",
                "{'version': 2, 'members': 1}                            | - | 0 of 1 | false",
                "{'version': 3, 'members': 4}                            | - | 1 of 4 | false",
                "{'version': 3, 'members': {'z': ['a'], 'y': ['b']}}     | - | 1 of 2 | false",
                "{'version': 3, 'members': {'z': ['a']}, 'adminAddresses': ['h:1']} | x | 1 of 1 | true",
                "{'version': 3, 'adminAddresses': {'a': 'h:1', 'b': 'h:2'}} | - | 1 of 2 | false"
            })
    void membersNotQueriedCountAsNotFollowing(
            String answer, String unreachable, String counted, boolean complete)
            throws IOException {
        String json = answer.replace("{'version'", "{'node': 'a', 'version'").replace('\'', '"');
        List<NodeStatus> statuses = new ArrayList<>();
        statuses.add(NodeStatus.of("h:1", new ObjectMapper().readTree(json)));
        if (!unreachable.equals("-")) {
            statuses.add(NodeStatus.unreachable(unreachable, "refused"));
        }
        RolloutProgress progress = RolloutProgress.of(3, statuses);
        assertThat(progress).hasToString(counted + " nodes follow");
        assertThat(progress.complete()).isEqualTo(complete);
        assertThat(progress.describeMissing().isEmpty()).isEqualTo(complete);
    }
}
