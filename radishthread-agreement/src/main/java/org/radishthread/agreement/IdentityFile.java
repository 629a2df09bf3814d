package org.radishthread.agreement;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.function.LongSupplier;

import org.radishthread.kernel.Assert;
import org.radishthread.kernel.DurableFile;
import org.radishthread.protocol.Identity;

/**
 * Stores the id of a replica in the folder of its log. If the folder is lost, the replica
 * gets a new id, so that it cannot contradict votes and acknowledgements that it gave
 * under the old one.
 */
public final class IdentityFile {

	private static final String FILE_NAME = "identity";

	private final Path folder;

	public IdentityFile(Path folder) {
		this.folder = folder;
	}

	/**
	 * Reads the id of the replica, or creates one if the folder has none.
	 * @param instance the name of the instance that owns the folder
	 * @param idGenerator supplies a random id other than zero
	 * @return the replica id, not zero
	 * @throws AgreementException if the folder belongs to another instance or cannot be
	 * read or written
	 */
	public long readOrCreate(String instance, LongSupplier idGenerator) {
		try {
			DurableFile.createFolders(this.folder);
			Path file = this.folder.resolve(FILE_NAME);
			return Files.exists(file) ? read(file, instance) : create(instance, idGenerator);
		}
		catch (IOException ex) {
			throw new AgreementException("Identity file in folder " + this.folder + " cannot be read or written.", ex);
		}
	}

	private static long read(Path file, String instance) throws IOException {
		Identity identity = Identity.parseFrom(Files.readAllBytes(file));
		if (!identity.getInstance().equals(instance) || identity.getReplica() == 0) {
			throw new AgreementException("Identity file " + file + " belongs to instance '" + identity.getInstance()
					+ "', not to '" + instance + "'.");
		}
		return identity.getReplica();
	}

	private long create(String instance, LongSupplier idGenerator) throws IOException {
		long replicaId = idGenerator.getAsLong();
		Assert.state(replicaId != 0, "Replica id must not be zero.");
		byte[] content = Identity.newBuilder().setReplica(replicaId).setInstance(instance).build().toByteArray();
		DurableFile.replace(this.folder, FILE_NAME, content);
		return replicaId;
	}

}
