package org.radishthread.routing;

/**
 * The crash of an upstream while it ran a request.
 *
 * @param digest what equal requests have in common
 * @param upstream the name of the upstream
 * @param incarnation the incarnation of the upstream that crashed
 * @param alone whether the upstream was running no other request
 * @param crashedAtNanos the monotonic time of the crash, in nanoseconds
 */
public record CrashRecord(String digest, String upstream, long incarnation, boolean alone, long crashedAtNanos) {

}
