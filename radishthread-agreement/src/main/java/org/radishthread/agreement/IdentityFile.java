package org.radishthread.agreement;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.function.LongSupplier;

import org.radishthread.kernel.Assert;
import org.radishthread.kernel.DurableFile;
import org.radishthread.protocol.Identity;

/**
 * Keeps the identity of a replica beside its log. A folder that was lost comes back with
 * another identity, so that promises given under the old one are never broken.
 */
public final class IdentityFile {

	private static final String NAME = "identity";

	private final Path folder;

	public IdentityFile(Path folder) {
		this.folder = folder;
	}

	/**
	 * Reads the identity, or creates one in an empty folder.
	 * @param instance the name of the instance that the folder belongs to
	 * @param candidates supplies random numbers
	 * @return the identity, not zero
	 * @throws AgreementException if the folder belongs to another instance or can not be
	 * used
	 */
	public long readOrCreate(String instance, LongSupplier candidates) {
		try {
			Files.createDirectories(this.folder);
			Path file = this.folder.resolve(NAME);
			return Files.exists(file) ? read(file, instance) : create(instance, candidates);
		}
		catch (IOException ex) {
			throw new AgreementException("Identity in folder " + this.folder + " can not be read or written.", ex);
		}
	}

	private static long read(Path file, String instance) throws IOException {
		Identity identity = Identity.parseFrom(Files.readAllBytes(file));
		if (!identity.getInstance().equals(instance) || identity.getReplica() == 0) {
			throw new AgreementException("Folder of " + file + " belongs to instance '" + identity.getInstance()
					+ "', not to '" + instance + "'.");
		}
		return identity.getReplica();
	}

	private long create(String instance, LongSupplier candidates) throws IOException {
		long replica = candidates.getAsLong();
		Assert.state(replica != 0, "Identity of a replica must not be zero.");
		byte[] content = Identity.newBuilder().setReplica(replica).setInstance(instance).build().toByteArray();
		DurableFile.replace(this.folder, NAME, content);
		return replica;
	}

}
