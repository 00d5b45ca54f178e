package org.hollypick.client;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;

/**
 * Sends idempotent requests to any of the controllers. After a lost connection, a timeout or a status that isn't final,
 * such as 429 or 503, the next controller is tried, until the call's time limit is reached. The wait between two
 * attempts is the longer of {@code Retry-After} and an exponential backoff with jitter. Thread-safe.
 */
final class RetryingHttpClient {
    private static final ObjectMapper CBOR = new ObjectMapper(new CBORFactory());
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);
    private static final long NO_DEADLINE = Long.MAX_VALUE;
    private static final long FIRST_BACKOFF_MILLIS = 250;
    private static final long MAX_BACKOFF_MILLIS = 8_000;
    private static final int MAX_BACKOFF_DOUBLINGS = 5;
    private static final long MAX_RETRY_AFTER_SECONDS = 30;

    private final List<String> addresses;
    private final Duration callTimeout;
    private final Duration responseTimeout;
    private final HttpClient http;
    private final AtomicInteger nextAddress = new AtomicInteger();

    /**
     * A call, which one or more requests attempt.
     *
     * @param body null for none
     * @param deadlineNanos when the call fails, by {@link System#nanoTime}, or {@link #NO_DEADLINE}
     */
    private record Call(String method, String path, JsonNode body, long deadlineNanos) {
        /** Whether the deadline is earlier than the end of a wait that begins now. */
        boolean expiresWithin(long waitMillis) {
            return deadlineNanos != NO_DEADLINE
                    && System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(waitMillis) - deadlineNanos > 0;
        }
    }

    /**
     * The failure of one attempt, after which the call is retried.
     *
     * @param status 0 if there was no response
     * @param retryAfterSeconds 0 if the response named no time
     */
    private record Failure(int status, String message, long retryAfterSeconds) {}

    RetryingHttpClient(List<String> addresses, Duration callTime, Duration responseTimeout) {
        this.addresses = List.copyOf(addresses);
        this.callTimeout = callTime;
        this.responseTimeout = responseTimeout;
        this.http = HttpClient.newBuilder()
                .version(HttpClient.Version.HTTP_1_1)
                .connectTimeout(CONNECT_TIMEOUT)
                .build();
    }

    /** Returns the response's body; fails with a {@link HollypickException}. {@code body}: null for none. */
    CompletableFuture<JsonNode> send(String method, String path, JsonNode body) {
        return attempt(new Call(method, path, body, System.nanoTime() + callTimeout.toNanos()), 0);
    }

    /** Sends a request as {@link #send} does, but without a time limit. */
    CompletableFuture<JsonNode> sendUntilAnswered(String method, String path, JsonNode body) {
        return attempt(new Call(method, path, body, NO_DEADLINE), 0);
    }

    /** Sends the request once; {@code retries}: the number of earlier attempts. */
    private CompletableFuture<JsonNode> attempt(Call call, int retries) {
        HttpRequest request;
        try {
            request = createRequest(call);
        } catch (IOException e) {
            return CompletableFuture.failedFuture(new HollypickException.Invalid(0, e.getMessage()));
        }
        return http.sendAsync(request, HttpResponse.BodyHandlers.ofByteArray())
                .handle((response, failure) -> response == null
                        ? retry(call, retries, new Failure(0, failure.getMessage(), 0))
                        : handleResponse(call, retries, response))
                .thenCompose(result -> result);
    }

    private HttpRequest createRequest(Call call) throws IOException {
        String address = addresses.get(Math.floorMod(nextAddress.get(), addresses.size()));
        HttpRequest.BodyPublisher body = call.body == null
                ? HttpRequest.BodyPublishers.noBody()
                : HttpRequest.BodyPublishers.ofByteArray(CBOR.writeValueAsBytes(call.body));
        return HttpRequest.newBuilder(URI.create("http://" + address + call.path))
                .timeout(responseTimeout)
                .method(call.method, body)
                .header("Content-Type", "application/cbor")
                .build();
    }

    private CompletableFuture<JsonNode> handleResponse(Call call, int retries, HttpResponse<byte[]> response) {
        JsonNode body = decode(response.body());
        int status = response.statusCode();
        String error = body.path(WireFields.ERROR).asText("HTTP status " + status + " without an error message");
        return switch (status) {
            case 200, 201, 202 -> CompletableFuture.completedFuture(body);
            case 400, 405, 422 -> CompletableFuture.failedFuture(new HollypickException.Invalid(status, error));
            case 404 -> CompletableFuture.failedFuture(new HollypickException.NotFound(error));
            case 409 -> CompletableFuture.failedFuture(new HollypickException.Conflict(error));
            default -> {
                long retryAfterSeconds =
                        response.headers().firstValueAsLong("Retry-After").orElse(0);
                yield retry(call, retries, new Failure(status, error, retryAfterSeconds));
            }
        };
    }

    private CompletableFuture<JsonNode> retry(Call call, int retries, Failure failure) {
        nextAddress.incrementAndGet();
        long waitMillis = Math.max(
                TimeUnit.SECONDS.toMillis(Math.min(failure.retryAfterSeconds, MAX_RETRY_AFTER_SECONDS)),
                backoffMillis(retries));
        if (call.expiresWithin(waitMillis)) {
            return CompletableFuture.failedFuture(new HollypickException.Unavailable(
                    failure.status,
                    call.method + " " + call.path + ": no controller of " + addresses
                            + " accepted the call in time; last failure: " + failure.message));
        }
        return runAfter(Duration.ofMillis(waitMillis), () -> attempt(call, retries + 1));
    }

    /** Returns a random wait between half of the backoff and all of it; the backoff doubles with each retry. */
    private static long backoffMillis(int retries) {
        long backoff = Math.min(MAX_BACKOFF_MILLIS, FIRST_BACKOFF_MILLIS << Math.min(retries, MAX_BACKOFF_DOUBLINGS));
        return backoff / 2 + ThreadLocalRandom.current().nextLong(backoff / 2 + 1);
    }

    /** Starts an asynchronous action after a wait, and completes with its outcome. */
    static <T> CompletableFuture<T> runAfter(Duration wait, Supplier<CompletableFuture<T>> action) {
        Executor delayed = CompletableFuture.delayedExecutor(wait.toMillis(), TimeUnit.MILLISECONDS);
        return CompletableFuture.supplyAsync(action, delayed).thenCompose(result -> result);
    }

    private static JsonNode decode(byte[] bytes) {
        try {
            JsonNode tree = bytes.length == 0 ? null : CBOR.readTree(bytes);
            return tree == null ? MissingNode.getInstance() : tree;
        } catch (IOException e) {
            return MissingNode.getInstance(); // not CBOR: the response of a server that isn't a controller
        }
    }
}
