package org.radishthread.agreement;

import java.util.List;
import java.util.Optional;
import java.util.function.LongPredicate;

import org.radishthread.protocol.Configuration;
import org.radishthread.protocol.Replacement;
import org.radishthread.protocol.ReplicaDescriptor;

/**
 * Computes the sequence of configurations that replaces one replica by another: the new
 * replica is added as a learner, then promoted to a voter, then the old voter is removed.
 * A removed id of zero stands for no voter: the new replica is only added. Each step
 * changes at most one voter, so that the majorities before and after it overlap (Ongaro,
 * "Consensus: Bridging Theory and Practice", section 4.1).
 */
final class ConfigurationChange {

	private ConfigurationChange() {
	}

	static Configuration beginReplacement(Configuration currentConfiguration, long removedId,
			ReplicaDescriptor newReplica) {
		Replacement replacement = Replacement.newBuilder().setRemoved(removedId).setAdded(newReplica).build();
		return currentConfiguration.toBuilder().addLearners(newReplica).setReplacement(replacement).build();
	}

	/**
	 * Returns the configuration after the next step of a replacement in progress.
	 * @param committedConfiguration the committed configuration
	 * @param isCaughtUp whether the learner with a given id has all committed entries
	 * @return the next configuration, or empty if no replacement is in progress or the
	 * learner has not caught up yet
	 */
	static Optional<Configuration> nextConfiguration(Configuration committedConfiguration, LongPredicate isCaughtUp) {
		if (!committedConfiguration.hasReplacement()) {
			return Optional.empty();
		}
		ReplicaDescriptor newReplica = committedConfiguration.getReplacement().getAdded();
		if (!contains(committedConfiguration.getVotersList(), newReplica.getId())) {
			return isCaughtUp.test(newReplica.getId()) ? Optional.of(promoteLearner(committedConfiguration, newReplica))
					: Optional.empty();
		}
		return Optional.of(removeReplacedVoter(committedConfiguration));
	}

	private static Configuration promoteLearner(Configuration currentConfiguration, ReplicaDescriptor newReplica) {
		return currentConfiguration.toBuilder()
			.clearLearners()
			.addAllLearners(withoutReplica(currentConfiguration.getLearnersList(), newReplica.getId()))
			.addVoters(newReplica)
			.build();
	}

	private static Configuration removeReplacedVoter(Configuration currentConfiguration) {
		return currentConfiguration.toBuilder()
			.clearVoters()
			.addAllVoters(withoutReplica(currentConfiguration.getVotersList(),
					currentConfiguration.getReplacement().getRemoved()))
			.clearReplacement()
			.build();
	}

	private static List<ReplicaDescriptor> withoutReplica(List<ReplicaDescriptor> replicas, long id) {
		return replicas.stream().filter((replica) -> replica.getId() != id).toList();
	}

	static boolean contains(List<ReplicaDescriptor> replicas, long id) {
		return replicas.stream().anyMatch((replica) -> replica.getId() == id);
	}

}
