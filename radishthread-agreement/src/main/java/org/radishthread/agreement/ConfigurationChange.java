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
 * Each step changes at most one voter, so that the majorities before and after it overlap
 * (Ongaro, "Consensus: Bridging Theory and Practice", section 4.1).
 */
final class ConfigurationChange {

	private ConfigurationChange() {
	}

	static Configuration beginReplacement(Configuration current, long removedId, ReplicaDescriptor added) {
		Replacement replacement = Replacement.newBuilder().setRemoved(removedId).setAdded(added).build();
		return current.toBuilder().addLearners(added).setReplacement(replacement).build();
	}

	/**
	 * Returns the configuration after the next step of a replacement in progress.
	 * @param committed the committed configuration
	 * @param isCaughtUp whether the learner with a given id has all committed entries
	 * @return the next configuration, or empty if no replacement is in progress or the
	 * learner has not caught up yet
	 */
	static Optional<Configuration> nextConfiguration(Configuration committed, LongPredicate isCaughtUp) {
		if (!committed.hasReplacement()) {
			return Optional.empty();
		}
		ReplicaDescriptor added = committed.getReplacement().getAdded();
		if (!contains(committed.getVotersList(), added.getId())) {
			return isCaughtUp.test(added.getId()) ? Optional.of(promoteLearner(committed, added)) : Optional.empty();
		}
		return Optional.of(removeReplacedVoter(committed));
	}

	private static Configuration promoteLearner(Configuration current, ReplicaDescriptor added) {
		return current.toBuilder()
			.clearLearners()
			.addAllLearners(without(current.getLearnersList(), added.getId()))
			.addVoters(added)
			.build();
	}

	private static Configuration removeReplacedVoter(Configuration current) {
		return current.toBuilder()
			.clearVoters()
			.addAllVoters(without(current.getVotersList(), current.getReplacement().getRemoved()))
			.clearReplacement()
			.build();
	}

	private static List<ReplicaDescriptor> without(List<ReplicaDescriptor> replicas, long id) {
		return replicas.stream().filter((replica) -> replica.getId() != id).toList();
	}

	static boolean contains(List<ReplicaDescriptor> replicas, long id) {
		return replicas.stream().anyMatch((replica) -> replica.getId() == id);
	}

}
