package dev.zinniaring.soak;

import dev.zinniaring.soak.Observations.ReceivedAnswer;
import dev.zinniaring.soak.Observations.SentAnswer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Compares each answer that a caller got with what the backend servers sent for exactly that send
 * of the call. No fault excuses a wrong answer.
 */
final class MixedChecker {
    private final Map<String, SentAnswer> byRun = new HashMap<>();
    private final Map<String, List<SentAnswer>> bySend = new HashMap<>();

    private MixedChecker(Observations observed) {
        for (SentAnswer sent : observed.sentAnswers()) {
            byRun.put(sent.run(), sent);
            bySend.computeIfAbsent(sent.send(), send -> new ArrayList<>()).add(sent);
        }
    }

    /**
     * Returns every wrong answer, each beginning with the invariant and the kind of the answer from
     * which it stems.
     */
    static List<String> violations(Observations observed) {
        MixedChecker checker = new MixedChecker(observed);
        List<String> violations = new ArrayList<>();
        for (ReceivedAnswer received : observed.receivedAnswers()) {
            RunTag tag = RunTag.parse(received.tag());
            SentAnswer sent = checker.byRun.get(tag.run());
            String wrong = wrong(received, tag, sent);
            if (wrong != null) {
                violations.add(
                        "MIXED %s: %s got %d tagged \"%s\", %s; its runs were answered %s"
                                .formatted(
                                        sent == null ? "untagged" : sent.kind(),
                                        received.send(),
                                        received.status(),
                                        received.tag(),
                                        wrong,
                                        checker.runs(received.send())));
            }
        }
        return violations;
    }

    private static @Nullable String wrong(
            ReceivedAnswer received, RunTag tag, @Nullable SentAnswer sent) {
        boolean success = received.status() / 100 == 2;
        if (received.tag().isEmpty()) {
            return success ? "a success that no server sent" : null;
        }
        if (sent == null) {
            return "a tag of no run";
        }
        if (!sent.send().equals(received.send())) {
            return "the answer to " + sent.send();
        }
        if (received.status() != sent.status() || tag.status() != sent.status()) {
            return "where the run ended with " + sent.status();
        }
        if (!received.body().equals(sent.body())) {
            return "%d of %d body bytes".formatted(received.body().length(), sent.body().length());
        }
        if (!received.echoedId().isEmpty() && !received.echoedId().equals(received.callId())) {
            return "with the id " + received.echoedId();
        }
        return success && !sent.kind().proper() ? "which was no whole answer" : null;
    }

    private List<String> runs(String send) {
        return bySend.getOrDefault(send, List.of()).stream()
                .map(sent -> sent.run() + " " + sent.status() + " " + sent.kind())
                .toList();
    }
}
