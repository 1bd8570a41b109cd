package dev.zinniaring.routing;

import static dev.zinniaring.routing.Fixtures.pool;
import static dev.zinniaring.routing.Fixtures.server;
import static dev.zinniaring.routing.Fixtures.version;

import java.util.List;
import org.jetbrains.lincheck.datastructures.IntGen;
import org.jetbrains.lincheck.datastructures.Operation;
import org.jetbrains.lincheck.datastructures.Param;
import org.jetbrains.lincheck.datastructures.StressOptions;
import org.junit.jupiter.api.Test;

/**
 * Guards against an update that undoes a concurrent one, by activating an older version or by
 * losing endpoints.
 */
@Param(name = "number", gen = IntGen.class, conf = "1:5")
public class LiveRoutingTableLincheckTest {
    private final LiveRoutingTable live = new LiveRoutingTable();

    @Operation
    public boolean activate(@Param(name = "number") int number) throws RoutingException {
        return live.activate(version(number, List.of(), pool("p")));
    }

    @Operation
    public void refresh() throws RoutingException {
        live.refresh(() -> List.of(server("s", "z1")));
    }

    @Operation
    public String current() {
        return live.current()
                .map(
                        table ->
                                table.version().number()
                                        + " "
                                        + table.pools().get("p").endpoints().size())
                .orElse("none");
    }

    @Test
    void isLinearizable() {
        new StressOptions()
                .iterations(10)
                .invocationsPerIteration(300)
                .threads(3)
                .actorsPerThread(3)
                .check(getClass());
    }
}
