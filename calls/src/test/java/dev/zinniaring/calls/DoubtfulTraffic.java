package dev.zinniaring.calls;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Sends {@link DoubtfulRequests} to a node and compares what its server gets with what a {@link
 * StrictReader} reads in what was sent.
 */
public final class DoubtfulTraffic {
    private static final int DEFAULT_REQUESTS = 1_000;
    private static final int CLIENTS = 4;
    private static final int WAIT_MILLIS = 10_000;
    private static final int BAD_REQUEST = 400;
    private static final Pattern STATUS = Pattern.compile("HTTP/1\\.1 (\\d{3}) ");
    private static final String CALLER = "Zinniaring-Caller";
    private static final String CALL_ID = "Zinniaring-Call-Id";

    private final int port;
    private final StrictServer server;
    private final Queue<String> faults = new ConcurrentLinkedQueue<>();
    private final Queue<WireRequest> sent = new ConcurrentLinkedQueue<>();
    private String caller = "";
    private int maxDeadlineMillis;
    private String prefix = "/safe/";
    private boolean highBytes;

    /** Creates traffic to the port of a node that sends the calls on to a server. */
    public DoubtfulTraffic(int port, StrictServer server) {
        this.port = port;
        this.server = server;
    }

    /** Sets the name of the caller's service that the server must get; empty if it gets none. */
    public DoubtfulTraffic caller(String name) {
        caller = name;
        return this;
    }

    /** Sets the longest time limit that a server may get, in milliseconds. */
    public DoubtfulTraffic maxDeadlineMillis(int value) {
        maxDeadlineMillis = value;
        return this;
    }

    /** Sets the path below which all targets lie. */
    public DoubtfulTraffic prefix(String path) {
        prefix = path;
        return this;
    }

    /** Also sends targets with bytes over 0x7F. */
    public DoubtfulTraffic highBytes() {
        highBytes = true;
        return this;
    }

    /** Sends all requests and returns what is wrong, with the seed of each. */
    public List<String> play() throws InterruptedException {
        long seed = Long.getLong("zinniaring.seed", 1L);
        int requests = Integer.getInteger("zinniaring.requests", DEFAULT_REQUESTS);
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            long clientSeed = seed * CLIENTS + i;
            Thread client = new Thread(() -> send(clientSeed, requests / CLIENTS), "client-" + i);
            clients.add(client);
            client.start();
        }
        for (Thread client : clients) {
            client.join();
        }
        server.malformed().forEach(text -> faults.add("the server got no request: " + text));
        compare(server.requests());
        return List.copyOf(faults);
    }

    private void send(long seed, int requests) {
        DoubtfulRequests drawn = new DoubtfulRequests(seed, prefix, highBytes);
        for (int i = 0; i < requests; i++) {
            DoubtfulRequests.Sent next = drawn.next("c" + seed + "-" + i);
            String text = new String(next.bytes(), StandardCharsets.ISO_8859_1);
            boolean whole = readAsSent(next.bytes());
            List<Integer> statuses = statuses(next.bytes());
            if (statuses.isEmpty() || statuses.contains(0)) {
                faults.add("no answer or no end " + statuses + " to " + text);
            } else if (!whole && statuses.get(statuses.size() - 1) < BAD_REQUEST) {
                faults.add("taken for requests " + statuses + ": " + text);
            } else if (next.proper() && !statuses.equals(List.of(200, 200))) {
                faults.add("not served " + statuses + ": " + text);
            }
        }
    }

    /** Adds the requests that are well formed; returns whether all are. */
    private boolean readAsSent(byte[] bytes) {
        StrictReader reader = new StrictReader(new ByteArrayInputStream(bytes));
        try {
            for (WireRequest next = reader.next(); next != null; next = reader.next()) {
                sent.add(next);
            }
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    /** Returns the statuses of the answers until the node closes; 0 stands for a missing end. */
    private List<Integer> statuses(byte[] bytes) {
        List<Integer> statuses = new ArrayList<>();
        StringBuilder answers = new StringBuilder();
        boolean ended = true;
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            socket.setSoTimeout(WAIT_MILLIS);
            socket.getOutputStream().write(bytes);
            InputStream in = socket.getInputStream();
            for (int next = in.read(); next >= 0; next = in.read()) {
                answers.append((char) next);
            }
        } catch (java.net.SocketTimeoutException e) {
            ended = false;
        } catch (IOException e) {
            // The node has closed the connection before it had read everything.
        }
        Matcher matcher = STATUS.matcher(answers);
        while (matcher.find()) {
            statuses.add(Integer.parseInt(matcher.group(1)));
        }
        if (!ended) {
            statuses.add(0);
        }
        return statuses;
    }

    private void compare(Collection<WireRequest> received) {
        Map<String, WireRequest> unmatched = new HashMap<>();
        sent.forEach(request -> unmatched.put(request.header(CALL_ID), request));
        for (WireRequest request : received) {
            WireRequest original = unmatched.remove(request.header(CALL_ID));
            if (original == null) {
                faults.add("nobody sent, or it came twice: " + request);
            } else if (!request.sameAs(original)) {
                faults.add("changed: " + original + " -> " + request);
            } else if (!caller.isEmpty() && !request.values(CALLER).equals(List.of(caller))) {
                faults.add("another caller: " + request);
            } else if (!keepsDeadline(original, request)) {
                faults.add("another deadline: " + original + " -> " + request);
            }
        }
    }

    private boolean keepsDeadline(WireRequest original, WireRequest received) {
        List<String> values = received.values("Zinniaring-Deadline-Ms");
        if (values.size() != 1 || !values.get(0).matches("[1-9][0-9]{0,8}")) {
            return false;
        }
        String asked = original.header("Zinniaring-Deadline-Ms");
        int maxMillis = maxDeadlineMillis;
        if (asked.matches("[0-9]{1,8}")) {
            maxMillis = Math.min(maxMillis, Integer.parseInt(asked));
        }
        return Integer.parseInt(values.get(0)) <= maxMillis;
    }
}
