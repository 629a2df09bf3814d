package org.radishthread.daemon.peer;

import java.nio.ByteBuffer;

import com.google.protobuf.InvalidProtocolBufferException;

import org.radishthread.daemon.settings.DaemonSettings;
import org.radishthread.kernel.NetworkAddress;
import org.radishthread.protocol.Envelope;
import org.radishthread.protocol.Hello;
import org.radishthread.protocol.RelayRequest;
import org.radishthread.protocol.RelayResponse;

/**
 * Encodes the messages by which this instance asks another one to connect it to an
 * upstream. They are framed like all messages between instances.
 */
public final class RelayHandshake {

	/**
	 * The size of the response in bytes.
	 */
	public static final int RESPONSE_BYTES = PeerPipeline.LENGTH_BYTES + response(true).getSerializedSize();

	private final DaemonSettings settings;

	public RelayHandshake(DaemonSettings settings) {
		this.settings = settings;
	}

	static Envelope response(boolean connected) {
		return Envelope.newBuilder()
			.setRelayResponse(RelayResponse.newBuilder()
				.setResult(connected ? RelayResponse.Result.CONNECTED : RelayResponse.Result.UNREACHABLE))
			.build();
	}

	/**
	 * Encodes the request for a connection, with the proof that this instance may ask.
	 * @param upstream the address of the upstream
	 * @return the bytes to send
	 */
	public ByteBuffer request(NetworkAddress upstream) {
		Hello hello = Hello.newBuilder()
			.setInstance(this.settings.instance())
			.setAddress(this.settings.peerAddress().toString())
			.setToken(this.settings.secrets().peer())
			.build();
		Envelope helloEnvelope = Envelope.newBuilder().setHello(hello).build();
		Envelope requestEnvelope = Envelope.newBuilder()
			.setRelayRequest(RelayRequest.newBuilder().setAddress(upstream.toString()))
			.build();
		ByteBuffer buffer = ByteBuffer.allocate(2 * PeerPipeline.LENGTH_BYTES + helloEnvelope.getSerializedSize()
				+ requestEnvelope.getSerializedSize());
		for (Envelope envelope : new Envelope[] { helloEnvelope, requestEnvelope }) {
			buffer.putInt(envelope.getSerializedSize()).put(envelope.toByteArray());
		}
		return buffer.flip();
	}

	/**
	 * Decodes the response.
	 * @param response the bytes received, {@link #RESPONSE_BYTES} of them
	 * @return whether the upstream is connected
	 */
	public static boolean isConnected(ByteBuffer response) {
		byte[] message = new byte[RESPONSE_BYTES - PeerPipeline.LENGTH_BYTES];
		response.position(PeerPipeline.LENGTH_BYTES).get(message);
		try {
			return Envelope.parseFrom(message).getRelayResponse().getResult() == RelayResponse.Result.CONNECTED;
		}
		catch (InvalidProtocolBufferException ex) {
			return false;
		}
	}

}
