package dev.zinniaring.standins;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class PlatformMainTest {
    @ParameterizedTest
    @CsvSource({
        "--address x, 2, must be IP:PORT",
        "--address 127.0.0.1:70000, 2, from 0 to 65535",
        "--address 127.0.0.1:x, 2, must be a number",
        "--adress x, 2, --adress",
        "--help, 0, --limits"
    })
    void printsErrorsForInvalidArgumentsAndTheHelp(String line, int status, String expectedText) {
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        PrintStream stream = new PrintStream(output, true, UTF_8);
        assertThat(PlatformMain.run(line.split(" "), stream, stream)).isEqualTo(status);
        assertThat(output.toString(UTF_8)).contains(expectedText);
    }
}
