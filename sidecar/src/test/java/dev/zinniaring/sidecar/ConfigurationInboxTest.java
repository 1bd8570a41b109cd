package dev.zinniaring.sidecar;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import dev.zinniaring.calls.ClientLimits;
import dev.zinniaring.calls.Configuration;
import dev.zinniaring.kernel.ManualClock;
import dev.zinniaring.kernel.Problem;
import dev.zinniaring.model.InvalidTablesException;
import dev.zinniaring.model.Tables;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Plays versions that arrive faster than a node reads them. */
class ConfigurationInboxTest {
    private final List<Long> read = new ArrayList<>();
    private final Deque<Runnable> tasks = new ArrayDeque<>();
    private final ActiveConfiguration active =
            new ActiveConfiguration(
                    new NumberReader(read),
                    new ConfigurationMetrics(),
                    ManualClock.startingAt(Instant.EPOCH));
    private final ConfigurationInbox inbox = new ConfigurationInbox(active, tasks::add);

    /** Reads documents that consist of their number; a minus sign makes them invalid. */
    private record NumberReader(List<Long> read) implements ConfigurationReader {
        @Override
        public Configuration read(byte[] bytes) throws InvalidTablesException {
            long number = value(bytes);
            read.add(number);
            if (number < 0) {
                throw new InvalidTablesException(List.of(new Problem("", "-", "no sign")));
            }
            return new Configuration(number, Tables.EMPTY, Map.of(), ClientLimits.DEFAULT);
        }

        @Override
        public long number(byte[] bytes) {
            return Math.abs(value(bytes));
        }

        private static long value(byte[] bytes) {
            return Long.parseLong(new String(bytes, StandardCharsets.UTF_8));
        }
    }

    private static byte[] bytes(long number) {
        return Long.toString(number).getBytes(StandardCharsets.UTF_8);
    }

    private void fromStore(long number) {
        inbox.add(ConfigurationDocument.plain(bytes(number), "store", 0));
    }

    private void fromPeer(long number) {
        inbox.add(ConfigurationDocument.compressed(Compression.compress(bytes(number)), "peer", 0));
    }

    private void runTasks() {
        while (!tasks.isEmpty()) {
            tasks.remove().run();
        }
    }

    @Test
    void ofTheVersionsThatWaitOnlyTheNewestIsRead() {
        for (long number = 1; number <= 30; number++) {
            fromStore(number);
        }
        runTasks();
        assertThat(read).containsExactly(30L);
        assertThat(active.number()).isEqualTo(30);
    }

    @Test
    void aVersionThatComesLateAndOlderIsNotRead() {
        fromStore(7);
        runTasks();
        fromPeer(6);
        fromPeer(9);
        fromStore(8);
        runTasks();
        assertThat(read).containsExactly(7L, 9L);
        assertThat(active.number()).isEqualTo(9);
    }

    /** A valid version must come into force although one that cannot be read has overtaken it. */
    @Test
    void theNewestValidVersionIsActivatedBehindAnInvalidOne() {
        fromStore(1);
        fromStore(2);
        fromStore(-3);
        runTasks();
        assertThat(read).containsExactly(-3L, 2L);
        assertThat(active.number()).isEqualTo(2);
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 3, ConfigurationInbox.MAX_WAITING + 3})
    void theEndOfEachDocumentIsReportedOnce(int documents) {
        List<Long> ended = new ArrayList<>();
        for (long number = 1; number <= documents; number++) {
            long added = number;
            inbox.add(
                    ConfigurationDocument.plain(bytes(number), "store", 0), () -> ended.add(added));
        }
        runTasks();
        assertThat(ended).hasSize(documents).doesNotHaveDuplicates();
    }

    @Test
    void aMalformedDocumentIsRejected() {
        inbox.add(ConfigurationDocument.compressed(new byte[] {1, 2}, "peer", 0));
        fromPeer(4);
        runTasks();
        assertThat(active.number()).isEqualTo(4);
    }

    /** A node would otherwise pull no version after one at which its reader failed. */
    @Test
    void theEndOfADocumentIsReportedAlsoIfItsReaderFails() {
        List<String> ended = new ArrayList<>();
        byte[] noNumber = "x".getBytes(StandardCharsets.UTF_8);
        inbox.add(ConfigurationDocument.plain(noNumber, "store", 0), () -> ended.add("reported"));
        assertThatThrownBy(this::runTasks).isInstanceOf(NumberFormatException.class);
        assertThat(ended).containsExactly("reported");
        fromPeer(4);
        runTasks();
        assertThat(active.number()).isEqualTo(4);
    }
}
