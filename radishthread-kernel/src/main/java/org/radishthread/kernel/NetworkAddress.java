package org.radishthread.kernel;

import java.net.InetAddress;
import java.net.UnknownHostException;

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

	private static final int MAXIMUM_BYTE_DIGITS = 3;

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

	// Without regular expressions, because each instance reads many addresses while it
	// starts.
	private static boolean isIpNumber(String text) {
		return (text.indexOf(':') >= 0) ? isIpVersion6Number(text) : isIpVersion4Number(text);
	}

	private static boolean isIpVersion4Number(String text) {
		int completeBytes = 0;
		int begin = 0;
		for (int end = text.indexOf('.'); end >= 0; end = text.indexOf('.', begin)) {
			if (!isByte(text, begin, end)) {
				return false;
			}
			completeBytes++;
			begin = end + 1;
		}
		return completeBytes == IP_VERSION_4_BYTES - 1 && isByte(text, begin, text.length());
	}

	private static boolean isByte(String text, int begin, int end) {
		int value = 0;
		for (int i = begin; i < end; i++) {
			char digit = text.charAt(i);
			if (digit < '0' || digit > '9') {
				return false;
			}
			value = 10 * value + digit - '0';
		}
		return end > begin && end - begin <= MAXIMUM_BYTE_DIGITS && value <= MAXIMUM_BYTE;
	}

	// In brackets the text is never looked up as a name. The name of an interface is not
	// part of a number.
	private static boolean isIpVersion6Number(String text) {
		if (text.indexOf('%') >= 0) {
			return false;
		}
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
