package dev.zinniaring.calls;

import static org.assertj.core.api.Assertions.assertThat;

import dev.zinniaring.kernel.Clock;
import dev.zinniaring.kernel.KernelException;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests a listener with a client that sends requests before earlier ones have been answered. */
class PipeliningTest {
    private static final ClientLimits LIMITS = new ClientLimits(1_024, 300_000, 300, 10_000);
    private static final int WAIT_MILLIS = 5_000;

    /** Time in which a request that must not be handled yet would arrive at the handler. */
    private static final int QUIET_MILLIS = 150;

    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final BlockingQueue<Exchange> handled = new LinkedBlockingQueue<>();
    private final BlockingQueue<String> cancelled = new LinkedBlockingQueue<>();
    private HttpListener listener;
    private Socket socket;

    @BeforeEach
    void connect() throws KernelException, IOException {
        listener =
                new HttpListener(
                        group,
                        Clock.system(),
                        () -> LIMITS,
                        exchange -> {
                            exchange.onCancel(() -> cancelled.add(exchange.target()));
                            handled.add(exchange);
                        });
        listener.start(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        socket = new Socket(InetAddress.getLoopbackAddress(), listener.address().getPort());
        socket.setSoTimeout(WAIT_MILLIS);
    }

    @AfterEach
    void stop() throws IOException {
        socket.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private void send(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private static String get(String path) {
        return "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n";
    }

    private static String post(String path, String body) {
        return "POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s"
                .formatted(path, body.length(), body);
    }

    private Exchange take() throws InterruptedException {
        Exchange exchange = handled.poll(WAIT_MILLIS, TimeUnit.MILLISECONDS);
        assertThat(exchange).as("a request that is handled").isNotNull();
        return exchange;
    }

    private void answer(Exchange exchange) {
        group.execute(() -> exchange.answer(Answer.text(200, exchange.target())));
    }

    /** Reads one answer: its status, its body and, if it closes the connection, "close". */
    private String read() throws IOException {
        InputStream in = socket.getInputStream();
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = in.read();
            if (next < 0) {
                throw new EOFException("closed after: " + head);
            }
            head.append((char) next);
        }
        int length = 0;
        String close = "";
        for (String line : head.toString().toLowerCase().split("\r\n")) {
            if (line.startsWith("content-length:")) {
                length = Integer.parseInt(line.substring(15).trim());
            } else if (line.equals("connection: close")) {
                close = " close";
            }
        }
        String body = new String(in.readNBytes(length), StandardCharsets.ISO_8859_1);
        return head.substring(9, 12) + " " + body + close;
    }

    /** Answers are completed in a random order; each must be sent in the place of its request. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void requestsRunTogetherAndAreAnsweredInOrder(long seed) throws Exception {
        StringBuilder requests = new StringBuilder();
        for (int i = 0; i < RequestPipeline.MAX_RUNNING; i++) {
            requests.append(get("/" + i));
        }
        send(requests.toString());
        List<Exchange> running = new ArrayList<>();
        for (int i = 0; i < RequestPipeline.MAX_RUNNING; i++) {
            running.add(take());
        }
        Collections.shuffle(running, new Random(seed));
        running.forEach(this::answer);
        for (int i = 0; i < RequestPipeline.MAX_RUNNING; i++) {
            assertThat(read()).isEqualTo("200 /" + i);
        }
    }

    /** The requests behind a closing answer are sent again, so they must not have run. */
    @Test
    void aRequestThatMayRunOnceWaitsForTheAnswersBeforeIt() throws Exception {
        send(get("/1") + post("/2", "b"));
        Exchange first = take();
        assertThat(handled.poll(QUIET_MILLIS, TimeUnit.MILLISECONDS)).isNull();
        answer(first);
        assertThat(read()).isEqualTo("200 /1");
        Exchange second = take();
        assertThat(second.body()).containsExactly('b');
        answer(second);
        assertThat(read()).isEqualTo("200 /2");
    }

    @Test
    void nothingIsHandledBehindARequestThatAsksForAClose() throws Exception {
        send("GET /1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n" + get("/2"));
        answer(take());
        assertThat(read()).isEqualTo("200 /1 close");
        assertThat(handled.poll(QUIET_MILLIS, TimeUnit.MILLISECONDS)).isNull();
    }

    /** A node that shuts down must answer what it has passed on before it closes a connection. */
    @Test
    void aDrainingListenerAnswersAllStartedRequestsBeforeItCloses() throws Exception {
        send(get("/1") + get("/2") + post("/3", "b"));
        Exchange first = take();
        Exchange second = take();
        listener.drain();
        answer(second);
        answer(first);
        assertThat(read()).isEqualTo("200 /1");
        assertThat(read()).isEqualTo("200 /2 close");
        assertThat(handled.poll(QUIET_MILLIS, TimeUnit.MILLISECONDS)).isNull();
    }

    @Test
    void aClientThatLeavesCancelsAllItsRequests() throws Exception {
        send(get("/1") + get("/2"));
        take();
        take();
        socket.close();
        assertThat(cancelled.poll(WAIT_MILLIS, TimeUnit.MILLISECONDS)).isEqualTo("/1");
        assertThat(cancelled.poll(WAIT_MILLIS, TimeUnit.MILLISECONDS)).isEqualTo("/2");
    }

    @Test
    void aMalformedRequestIsRejectedAfterTheAnswersBeforeIt() throws Exception {
        send(get("/1") + "nonsense\r\n\r\n");
        answer(take());
        assertThat(read()).isEqualTo("200 /1");
        assertThat(read()).isEqualTo("400  close");
    }

    /** An interim answer would be taken for one of the request before. */
    @Test
    void continueIsSentAfterTheAnswersBeforeIt() throws Exception {
        send(get("/1"));
        Exchange first = take();
        send("POST /2 HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nExpect: 100-continue\r\n\r\n");
        TimeUnit.MILLISECONDS.sleep(QUIET_MILLIS);
        answer(first);
        assertThat(read()).isEqualTo("200 /1");
        assertThat(read()).startsWith("100");
        send("b");
        answer(take());
        assertThat(read()).isEqualTo("200 /2");
    }

    /** A slow head behind a long request must not hold a connection forever. */
    @Test
    void aSlowHeadBehindAnotherRequestIsRejectedAfterItsAnswer() throws Exception {
        send(get("/1"));
        Exchange first = take();
        send("GET /2 HTTP/1.1\r\n");
        TimeUnit.MILLISECONDS.sleep(LIMITS.headerTimeoutMillis() * 3L);
        answer(first);
        assertThat(read()).isEqualTo("200 /1");
        assertThat(read()).isEqualTo("408  close");
    }

    /**
     * A client that sends more than the listener holds must wait, and all its requests must be
     * answered in the end.
     */
    @Test
    void aConnectionWithTooMuchUnansweredIsReadLaterAndNotClosed() throws Exception {
        int requests = 80;
        String body = "b".repeat(250_000);
        Thread sender =
                new Thread(
                        () -> {
                            try {
                                for (int i = 0; i < requests; i++) {
                                    send(post("/" + i, body));
                                }
                            } catch (IOException e) {
                                cancelled.add("send: " + e);
                            }
                        });
        sender.start();
        Exchange first = take();
        TimeUnit.MILLISECONDS.sleep(QUIET_MILLIS);
        assertThat(sender.isAlive()).as("the client waits").isTrue();
        answer(first);
        assertThat(read()).isEqualTo("200 /0");
        for (int i = 1; i < requests; i++) {
            answer(take());
            assertThat(read()).isEqualTo("200 /" + i);
        }
        assertThat(cancelled).isEmpty();
    }

    /** Answers that the client does not read must not pile up without a bound. */
    @Test
    void noRequestsAreStartedForAClientThatDoesNotReadItsAnswers() throws Exception {
        int requests = 100;
        byte[] large = new byte[200_000];
        Thread sender =
                new Thread(
                        () -> {
                            try {
                                for (int i = 0; i < requests; i++) {
                                    send(get("/" + i));
                                }
                            } catch (IOException e) {
                                cancelled.add("send: " + e);
                            }
                        });
        sender.start();
        int started = 0;
        for (Exchange next = take();
                next != null;
                next = handled.poll(QUIET_MILLIS * 2, TimeUnit.MILLISECONDS)) {
            Exchange exchange = next;
            started++;
            group.execute(() -> exchange.answer(Answer.bytes(200, large)));
        }
        assertThat(started).isLessThan(requests);
    }

    /** A node that exits with an answer in its buffers would cut it off. */
    @Test
    void aRequestIsInFlightUntilItsAnswerHasBeenSentWhole() throws Exception {
        byte[] large = new byte[30_000_000];
        send(get("/1"));
        Exchange exchange = take();
        group.submit(() -> exchange.answer(Answer.bytes(200, large))).get();
        assertThat(inFlight()).isOne();
        assertThat(read()).startsWith("200 ");
        while (inFlight() > 0) {
            TimeUnit.MILLISECONDS.sleep(10);
        }
    }

    private int inFlight() throws Exception {
        return group.submit(() -> listener.inFlight()).get();
    }

    /**
     * A client may have sent more when a connection closes. A reset would discard the last answer,
     * which the client has not read yet.
     */
    @Test
    void theLastAnswerArrivesThoughTheClientHasSentMore() throws Exception {
        send("GET /1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
        Exchange exchange = take();
        byte[] large = new byte[400_000];
        group.submit(() -> exchange.answer(Answer.bytes(200, large))).get();
        send(post("/2", "b".repeat(200_000)));
        TimeUnit.MILLISECONDS.sleep(QUIET_MILLIS);
        assertThat(read()).hasSize("200 ".length() + large.length + " close".length());
        assertThat(socket.getInputStream().read()).isEqualTo(-1);
        assertThat(handled).isEmpty();
    }
}
