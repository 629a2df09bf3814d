package org.radishthread.membership;

/**
 * A control instance that did not respond to the reports of this gateway, which therefore
 * reports to another one.
 *
 * @param address the peer address of the instance
 * @param silentMillis the time since the first report without a response, in milliseconds
 * @param timeoutMillis the time that was allowed for a response, in milliseconds
 */
public record SilentInstance(String address, long silentMillis, long timeoutMillis) {
}
