package dev.zinniaring.kernel;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class JsonFieldsTest {
    private final List<Problem> problems = new ArrayList<>();

    @Test
    void collectsAllProblemsOfADocument() {
        JsonFields fields = JsonFields.parse("{\"port\": 70000, \"nmae\": \"a\"}", "", problems);
        fields.text("name");
        fields.integer("port", 1, 65_535);
        fields.reportUnknownFields();
        assertThat(problems).extracting(Problem::path).containsExactly("name", "port", "nmae");
    }

    // Guards against paths such as routes.json#routes[0]#rank, with a second # after the file name.
    @Test
    void aPathConsistsOfTheFileNameAndTheFieldNames() {
        JsonFields fields = JsonFields.parse("{\"platform\": {}}", "node.json", problems);
        fields.object("platform").text("tableUrl");
        assertThat(problems)
                .extracting(Problem::path)
                .containsExactly("node.json#platform.tableUrl");
    }

    @Test
    void refusesDuplicateFieldsAndTrailingText() {
        JsonFields.parse("{\"a\": 1, \"a\": 2}", "", problems);
        JsonFields.parse("{} {}", "", problems);
        assertThat(problems).hasSize(2);
    }
}
