package dev.zinniaring.standins;

import dev.zinniaring.store.MemoryPlatform;
import dev.zinniaring.store.PlatformException;
import dev.zinniaring.store.PlatformInvalidRequestException;
import dev.zinniaring.store.PlatformOutcomeUnknownException;
import dev.zinniaring.store.PlatformThrottledException;
import dev.zinniaring.store.PlatformUnavailableException;
import dev.zinniaring.store.PlatformWire;
import dev.zinniaring.store.Row;
import dev.zinniaring.store.Transaction;
import io.javalin.config.RoutesConfig;
import io.javalin.http.Context;
import io.javalin.http.HttpStatus;
import java.io.IOException;
import java.util.Optional;
import org.eclipse.jetty.ee10.servlet.ServletContextRequest;
import org.jspecify.annotations.Nullable;

/** Serves the HTTP protocol of {@link PlatformWire} from an in-memory platform. */
final class PlatformRoutes {
    private final MemoryPlatform platform;

    private PlatformRoutes(MemoryPlatform platform) {
        this.platform = platform;
    }

    static void addTo(RoutesConfig routes, MemoryPlatform platform) {
        PlatformRoutes handlers = new PlatformRoutes(platform);
        routes.get("/table/row", handlers::getRow);
        routes.get("/table/rows", handlers::scan);
        routes.post("/table/transactions", handlers::commit);
        routes.get("/objects/object", handlers::getObject);
        routes.put("/objects/object", handlers::putObject);
        routes.exception(PlatformException.class, PlatformRoutes::writeError);
    }

    private void getRow(Context context) throws PlatformException {
        String key = parameter(context, "key");
        String known = context.header("If-None-Match");
        if (known == null) {
            writeRow(context, platform.tables().get(key));
            return;
        }
        long knownRevision = revision(known);
        Optional<Row> row = platform.tables().getIfChanged(key, knownRevision);
        // A conditional read does not distinguish an absent row from an unchanged one.
        if (row.isEmpty()) {
            context.status(HttpStatus.NOT_MODIFIED);
            return;
        }
        writeRow(context, row);
    }

    private static void writeRow(Context context, Optional<Row> row) {
        if (row.isEmpty()) {
            writeAbsent(context);
            return;
        }
        context.header("ETag", PlatformWire.etag(row.get().revision()));
        context.result(row.get().value());
    }

    private static void writeAbsent(Context context) {
        context.status(HttpStatus.NOT_FOUND);
        context.header(PlatformWire.ABSENCE_HEADER, PlatformWire.ABSENT);
    }

    private void scan(Context context) throws PlatformException {
        int limit = integer(parameter(context, "limit"));
        context.contentType("application/json");
        context.result(
                PlatformWire.encodeRows(
                        platform.tables().scan(parameter(context, "prefix"), limit)));
    }

    private void commit(Context context) throws PlatformException {
        Transaction transaction = transaction(context.bodyAsBytes());
        boolean applied = platform.tables().commit(transaction);
        context.contentType("application/json");
        context.result(PlatformWire.encodeApplied(applied));
    }

    private void getObject(Context context) throws PlatformException {
        Optional<byte[]> body = platform.objects().get(parameter(context, "key"));
        if (body.isEmpty()) {
            writeAbsent(context);
            return;
        }
        context.contentType("application/octet-stream");
        context.result(body.get());
    }

    private void putObject(Context context) throws PlatformException {
        platform.objects().put(parameter(context, "key"), context.bodyAsBytes());
        context.status(HttpStatus.NO_CONTENT);
    }

    private static String parameter(Context context, String name)
            throws PlatformInvalidRequestException {
        @Nullable String value = context.queryParam(name);
        if (value == null) {
            throw new PlatformInvalidRequestException("parameter " + name + " is missing");
        }
        return value;
    }

    private static int integer(String text) throws PlatformInvalidRequestException {
        try {
            return Integer.parseInt(text);
        } catch (NumberFormatException e) {
            throw new PlatformInvalidRequestException(text + " is not a whole number", e);
        }
    }

    private static long revision(String etag) throws PlatformInvalidRequestException {
        try {
            return PlatformWire.revision(etag);
        } catch (IOException e) {
            throw new PlatformInvalidRequestException(String.valueOf(e.getMessage()), e);
        }
    }

    private static Transaction transaction(byte[] body) throws PlatformInvalidRequestException {
        try {
            return PlatformWire.decodeTransaction(body);
        } catch (IOException e) {
            throw new PlatformInvalidRequestException("the transaction is malformed", e);
        }
    }

    private static void writeError(PlatformException e, Context context) {
        if (e instanceof PlatformOutcomeUnknownException) {
            breakConnection(context);
        } else if (e instanceof PlatformThrottledException) {
            context.status(HttpStatus.TOO_MANY_REQUESTS);
        } else if (e instanceof PlatformUnavailableException) {
            context.status(HttpStatus.SERVICE_UNAVAILABLE);
        } else {
            context.status(HttpStatus.BAD_REQUEST);
        }
        context.result(String.valueOf(e.getMessage()));
    }

    /** Closes the connection without a response, as if the network had failed. */
    private static void breakConnection(Context context) {
        ServletContextRequest.getServletContextRequest(context.req())
                .getConnectionMetaData()
                .getConnection()
                .getEndPoint()
                .close();
        context.status(HttpStatus.INTERNAL_SERVER_ERROR);
    }
}
