package org.radishthread.agreement;

import java.util.List;
import java.util.Optional;
import java.util.function.LongPredicate;

import org.radishthread.protocol.Configuration;
import org.radishthread.protocol.Replacement;
import org.radishthread.protocol.ReplicaDescriptor;

/**
 * Steps that replace one replica by another: the new one learns, then votes beside the
 * old one, then the old one goes. Each step changes one voter, so that the majorities
 * before and after it overlap (Ongaro, "Consensus: Bridging Theory and Practice", section
 * 4.1).
 */
final class ConfigurationChange {

	private ConfigurationChange() {
	}

	static Configuration begin(Configuration current, long removed, ReplicaDescriptor added) {
		Replacement replacement = Replacement.newBuilder().setRemoved(removed).setAdded(added).build();
		return current.toBuilder().addLearners(added).setReplacement(replacement).build();
	}

	/**
	 * Returns the configuration after the next step of a replacement in progress.
	 * @param committed the committed configuration
	 * @param caughtUp tells whether a learner holds all committed entries
	 * @return the next configuration, or empty if there is nothing to do yet
	 */
	static Optional<Configuration> next(Configuration committed, LongPredicate caughtUp) {
		if (!committed.hasReplacement()) {
			return Optional.empty();
		}
		ReplicaDescriptor added = committed.getReplacement().getAdded();
		if (!contains(committed.getVotersList(), added.getId())) {
			return caughtUp.test(added.getId()) ? Optional.of(promote(committed, added)) : Optional.empty();
		}
		return Optional.of(finish(committed));
	}

	private static Configuration promote(Configuration current, ReplicaDescriptor added) {
		return current.toBuilder()
			.clearLearners()
			.addAllLearners(without(current.getLearnersList(), added.getId()))
			.addVoters(added)
			.build();
	}

	private static Configuration finish(Configuration current) {
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
