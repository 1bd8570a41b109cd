package dev.zinniaring.ctl;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.zinniaring.model.TablesCodec;
import dev.zinniaring.model.Version;
import dev.zinniaring.publish.PublishException;
import dev.zinniaring.publish.Publisher;
import java.io.IOException;
import org.kohsuke.args4j.Argument;

/**
 * Implements {@code get}: prints the tables of a version in the format that {@code apply} reads.
 */
final class GetCommand extends Command {
    private static final JsonMapper MAPPER = JsonMapper.builder().build();

    @Argument(metaVar = "N", usage = "version (default latest)")
    private long number;

    @Override
    void run(Dependencies dependencies, Console console) throws CtlException, PublishException {
        Publisher publisher = dependencies.get().publisher();
        long selected = number > 0 ? number : publisher.source().head().number();
        if (selected == 0) {
            throw new CtlException(ExitStatus.REFUSED, "nothing has been published yet");
        }
        Version version = publisher.version(selected);
        JsonNode tables = document(version);
        ObjectNode json =
                Console.object().put("number", version.number()).put("hash", version.hash());
        json.set("tables", tables);
        console.result(Console.pretty(tables), json);
    }

    private static JsonNode document(Version version) {
        try {
            return MAPPER.readTree(TablesCodec.encode(version.tables()));
        } catch (IOException e) {
            throw new IllegalStateException("canonical encoding is not valid JSON", e);
        }
    }
}
