package dev.zinniaring.calls;

import static org.assertj.core.api.Assertions.assertThat;

import dev.zinniaring.accounts.Account;
import dev.zinniaring.accounts.AccountTable;
import dev.zinniaring.accounts.Quota;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests what a server gets of a call that an account makes, over one node and over two. */
class AccountCallTest {
    private static String received(boolean beside) throws Exception {
        AccountTable.Builder accounts = AccountTable.builder();
        accounts.add(new Account("acme", 0, Quota.UNLIMITED), List.of("secret"));
        try (ScriptedServer server = new ScriptedServer();
                OneServerMesh mesh = new OneServerMesh(server.address(), 2, beside);
                Socket socket = new Socket(InetAddress.getLoopbackAddress(), mesh.port())) {
            mesh.configuration.set(
                    new Configuration(
                            2,
                            mesh.configuration.get().routes(),
                            Map.of(),
                            ClientLimits.DEFAULT,
                            accounts.build()));
            server.answers.add(
                    "HTTP/1.1 200 OK\r\nZinniaring-Call-Id: ID\r\nContent-Length: 0\r\n\r\n");
            String request =
                    "GET /safe/x HTTP/1.1\r\nHost: h\r\nZinniaring-Call-Id: c1\r\n"
                            + "Zinniaring-Account-Key: secret\r\nzinniaring-account: forged\r\n"
                            + "Connection: keep-alive, Zinniaring-Account\r\n\r\n";
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            return server.request();
        }
    }

    /** A client could act for another account, or hide its own from the server. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void theServerGetsTheAccountThatHoldsTheKeyAndNeverTheKey(boolean beside) throws Exception {
        String head = received(beside);
        assertThat(head).isNotNull().doesNotContain("secret", "forged");
        assertThat(ScriptedServer.header(head, "Zinniaring-Account")).isEqualTo("acme");
    }
}
