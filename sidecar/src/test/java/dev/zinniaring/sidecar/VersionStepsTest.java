package dev.zinniaring.sidecar;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Plays versions of a long document of which each changes a little. */
class VersionStepsTest {
    private static final int RECORDS = 2_000;

    private final Random random = new Random(35);

    private String record() {
        return "{\"name\":\"r%08x\",\"spec\":{\"host\":\"h%d\",\"prefix\":\"/%06x/\",\"n\":%d}}"
                .formatted(
                        random.nextInt(),
                        random.nextInt(7),
                        random.nextInt(1 << 24),
                        random.nextInt(10_000));
    }

    private List<String> records() {
        List<String> records = new ArrayList<>();
        for (int i = 0; i < RECORDS; i++) {
            records.add(record());
        }
        return records;
    }

    private static byte[] document(int version, List<String> records) {
        return "{\"version\":\"%08x\",\"resources\":[%s]}"
                .formatted(version, String.join(",", records))
                .getBytes(StandardCharsets.UTF_8);
    }

    private void change(List<String> records) {
        for (int change = 0; change <= random.nextInt(6); change++) {
            int at = random.nextInt(records.size());
            switch (random.nextInt(3)) {
                case 0 -> records.set(at, record());
                case 1 -> records.add(at, record());
                default -> records.remove(at);
            }
        }
    }

    /** Documents of several 100 KB would keep calls from a link of little bandwidth. */
    @Test
    void theStepToAVersionThatChangesAFewRecordsIsShort() throws SidecarException {
        List<String> records = records();
        byte[] older = document(1, records);
        for (int version = 2; version <= 200; version++) {
            change(records);
            byte[] newer = document(version, records);
            byte[] delta = DocumentDelta.between(older, newer);
            assertThat(delta.length).as("bytes of %d", newer.length).isLessThan(4_000);
            assertThat(DocumentDelta.apply(delta, older)).isEqualTo(newer);
            older = newer;
        }
    }

    @Test
    void theDifferenceOfAnyTwoDocumentsLeadsFromOneToTheOther() throws SidecarException {
        List<byte[]> documents = new ArrayList<>(List.of(new byte[0], new byte[] {1}));
        List<String> records = records();
        documents.add(document(1, records));
        documents.add(document(2, records.subList(0, 5)));
        documents.add(document(3, records.subList(1_000, RECORDS)));
        byte[] noise = new byte[3_000];
        random.nextBytes(noise);
        documents.add(noise);
        for (byte[] older : documents) {
            for (byte[] newer : documents) {
                byte[] delta = DocumentDelta.between(older, newer);
                assertThat(DocumentDelta.apply(delta, older)).isEqualTo(newer);
            }
        }
    }

    /** A store that was restored can give a number out again for another document. */
    @Test
    void aStepFromAnotherDocumentIsRejected() {
        List<String> records = records();
        byte[] older = document(1, records);
        records.set(1_000, record());
        byte[] delta = DocumentDelta.between(older, document(2, records));
        byte[] other = older.clone();
        other[5_000]++;
        assertThatThrownBy(() -> DocumentDelta.apply(delta, other))
                .isInstanceOf(SidecarException.class);
    }

    @Test
    void malformedStepsAreRejectedWithACheckedException() {
        List<String> records = records();
        byte[] older = document(1, records);
        records.set(1_000, record());
        byte[] steps =
                VersionSteps.NONE
                        .with(1, 2, DocumentDelta.between(older, document(2, records)))
                        .encode();
        for (int i = 0; i < 5_000; i++) {
            byte[] changed = steps.clone();
            changed[random.nextInt(changed.length)] = (byte) random.nextInt(256);
            try {
                VersionSteps.decode(changed).apply(older);
            } catch (SidecarException expected) {
                continue;
            }
        }
    }

    @Test
    void aNodeThatIsSomeVersionsBehindGetsAllStepsThatItLacks() throws SidecarException {
        List<String> records = records();
        byte[] first = document(1, records);
        VersionSteps steps = VersionSteps.NONE;
        byte[] latest = first;
        for (int version = 2; version <= 5; version++) {
            change(records);
            byte[] next = document(version, records);
            steps = steps.with(version - 1, version, DocumentDelta.between(latest, next));
            latest = next;
        }
        VersionSteps behind = steps.after(1);
        assertThat(behind).isNotNull();
        assertThat(VersionSteps.decode(behind.encode()).apply(first)).isEqualTo(latest);
        assertThat(steps.after(9)).isNull();
    }

    @Test
    void onlyTheLatestStepsThatFollowEachOtherAreKept() {
        VersionSteps steps = VersionSteps.NONE;
        for (int version = 1; version <= 40; version++) {
            steps = steps.with(version, version + 1, new byte[10]);
        }
        assertThat(steps.after(1)).isNull();
        assertThat(steps.after(30)).isNotNull();
        assertThat(steps.with(41, 42, new byte[100_000]).after(41)).isNull();
        assertThat(steps.with(50, 51, new byte[10]).after(40)).isNull();
    }
}
