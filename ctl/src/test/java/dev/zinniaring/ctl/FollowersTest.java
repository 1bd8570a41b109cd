package dev.zinniaring.ctl;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class FollowersTest {
    /** Guards against a wait that ends although a member was never asked, in any answer's form. */
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
    void membersThatWereNotAskedDoNotFollow(
            String answer, String unreachable, String counted, boolean complete)
            throws IOException {
        String json = answer.replace("{'version'", "{'node': 'a', 'version'").replace('\'', '"');
        List<NodeStatus> statuses = new ArrayList<>();
        statuses.add(NodeStatus.of("h:1", new ObjectMapper().readTree(json)));
        if (!unreachable.equals("-")) {
            statuses.add(NodeStatus.unreachable(unreachable, "refused"));
        }
        Followers followers = Followers.of(3, statuses);
        assertThat(followers).hasToString(counted + " nodes follow");
        assertThat(followers.complete()).isEqualTo(complete);
        assertThat(followers.describeMissing().isEmpty()).isEqualTo(complete);
    }
}
