package org.radishthread.proof.standin;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Passes bytes between a gateway and an upstream, and can lose track of the connections
 * that are open: they stay open and silent while new ones work.
 */
public final class StandInRelay extends AbstractStandInServer {

	private static final int BUFFER_BYTES = 16 * 1024;

	private final int targetPort;

	private final Set<Link> links = ConcurrentHashMap.newKeySet();

	public StandInRelay(int targetPort) throws IOException {
		this.targetPort = targetPort;
	}

	public StandInRelay start() {
		startServing();
		return this;
	}

	/**
	 * Loses track of all connections that are open now.
	 */
	public void loseTrack() {
		this.links.forEach((link) -> link.silent = true);
	}

	@Override
	protected void accepted(Socket caller) throws IOException {
		Socket target = new Socket("127.0.0.1", this.targetPort);
		Link link = new Link();
		this.links.add(link);
		execute(() -> pass(link, caller, target));
		execute(() -> pass(link, target, caller));
	}

	private void pass(Link link, Socket from, Socket to) {
		byte[] buffer = new byte[BUFFER_BYTES];
		try (InputStream input = from.getInputStream(); OutputStream output = to.getOutputStream()) {
			int count = input.read(buffer);
			while (count >= 0) {
				if (!link.silent) {
					output.write(buffer, 0, count);
					output.flush();
				}
				count = input.read(buffer);
			}
		}
		catch (IOException ex) {
			// One of the two ends went away.
		}
		finally {
			if (!link.silent) {
				this.links.remove(link);
			}
		}
	}

	private static final class Link {

		private volatile boolean silent;

	}

}
