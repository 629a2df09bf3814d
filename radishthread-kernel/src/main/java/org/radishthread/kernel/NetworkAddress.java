package org.radishthread.kernel;

import java.net.InetAddress;
import java.net.UnknownHostException;
import java.util.Arrays;

/**
 * An IP address and a TCP port.
 *
 * @param host the IP address
 * @param port the port, from 0 to 65535
 */
public record NetworkAddress(String host, int port) {

	private static final int MAXIMUM_PORT = 65_535;

	private static final int IP_VERSION_4_BYTES = 4;

	private static final int MAXIMUM_BYTE = 255;

	public NetworkAddress {
		Assert.hasText(host, "Host of an address must not be empty.");
		Assert.isTrue(port >= 0 && port <= MAXIMUM_PORT, "Port " + port + " must be from 0 to 65535.");
	}

	/**
	 * Parses an address of the form {@code IP:PORT} or {@code [IP]:PORT}.
	 * @param text the address
	 * @return the parsed address
	 * @throws IllegalArgumentException if the text has another form
	 */
	public static NetworkAddress parse(String text) {
		int colon = text.lastIndexOf(':');
		Assert.isTrue(colon > 0, "Address '" + text + "' must have the form IP:PORT.");
		String hostPart = text.substring(0, colon);
		boolean bracketed = hostPart.startsWith("[") && hostPart.endsWith("]");
		String ipAddress = bracketed ? hostPart.substring(1, hostPart.length() - 1) : hostPart;
		Assert.isTrue(isIpNumber(ipAddress), "Address '" + text + "' must name an IP number.");
		try {
			return new NetworkAddress(ipAddress, Integer.parseInt(text.substring(colon + 1)));
		}
		catch (NumberFormatException ex) {
			throw new IllegalArgumentException("Address '" + text + "' must end in a port number.", ex);
		}
	}

	private static boolean isIpNumber(String text) {
		return text.matches("[0-9a-fA-F:.]*:[0-9a-fA-F:.]*") ? isIpVersion6Number(text) : isIpVersion4Number(text);
	}

	private static boolean isIpVersion4Number(String text) {
		String[] parts = text.split("[.]", -1);
		return parts.length == IP_VERSION_4_BYTES && Arrays.stream(parts)
			.allMatch((part) -> part.matches("[0-9]{1,3}") && Integer.parseInt(part) <= MAXIMUM_BYTE);
	}

	// In brackets the text is never looked up as a name.
	private static boolean isIpVersion6Number(String text) {
		try {
			InetAddress.getByName('[' + text + ']');
			return true;
		}
		catch (UnknownHostException ex) {
			return false;
		}
	}

	@Override
	public String toString() {
		return (this.host.indexOf(':') >= 0) ? "[" + this.host + "]:" + this.port : this.host + ":" + this.port;
	}

}
