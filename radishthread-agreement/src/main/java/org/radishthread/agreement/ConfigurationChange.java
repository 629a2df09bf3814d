package org.radishthread.agreement;

import java.util.List;
import java.util.Optional;

import org.radishthread.protocol.Configuration;
import org.radishthread.protocol.Replacement;
import org.radishthread.protocol.ReplicaDescriptor;

/**
 * Computes the sequence of configurations that repairs a group after losses. A new
 * replica is added as a learner, which does not vote. It becomes a voter when it has
 * caught up and either a voter is lost or the group has too few; the lost voter is
 * removed next. Other learners stand by. Each step changes at most one voter, so that the
 * majorities before and after it overlap (Ongaro, "Consensus: Bridging Theory and
 * Practice", section 4.1). Each step depends on the committed configuration only, so that
 * a new leader goes on where the former one stopped.
 */
final class ConfigurationChange {

	private ConfigurationChange() {
	}

	/**
	 * Adds a replica as a learner.
	 * @param currentConfiguration the committed configuration
	 * @param newReplica the replica, which takes the place of an earlier learner of the
	 * same instance
	 * @return the new configuration
	 */
	static Configuration addLearner(Configuration currentConfiguration, ReplicaDescriptor newReplica) {
		List<ReplicaDescriptor> otherLearners = currentConfiguration.getLearnersList()
			.stream()
			.filter((learner) -> !learner.getInstance().equals(newReplica.getInstance()))
			.toList();
		return currentConfiguration.toBuilder()
			.clearLearners()
			.addAllLearners(otherLearners)
			.addLearners(newReplica)
			.build();
	}

	/**
	 * Adds a replica as a learner that replaces a voter whose disk is lost.
	 * @param currentConfiguration the committed configuration
	 * @param removedId the id of the voter
	 * @param newReplica the replica
	 * @return the new configuration
	 */
	static Configuration beginReplacement(Configuration currentConfiguration, long removedId,
			ReplicaDescriptor newReplica) {
		Replacement replacement = Replacement.newBuilder().setRemoved(removedId).setAdded(newReplica).build();
		return addLearner(currentConfiguration, newReplica).toBuilder().setReplacement(replacement).build();
	}

	/**
	 * Returns the configuration after the next step of a repair.
	 * @param committedConfiguration the committed configuration
	 * @param targetVoters the number of voters that the group should have
	 * @param replicas what the leader knows of the replicas
	 * @return the next configuration, or empty if the group needs no repair or no step is
	 * possible now
	 */
	static Optional<Configuration> nextConfiguration(Configuration committedConfiguration, int targetVoters,
			ReplicaStates replicas) {
		if (committedConfiguration.hasReplacement()) {
			Optional<Configuration> nextStep = nextReplacementStep(committedConfiguration, replicas);
			if (nextStep.isPresent()) {
				return nextStep;
			}
		}
		List<ReplicaDescriptor> voters = committedConfiguration.getVotersList();
		Optional<ReplicaDescriptor> lostVoter = voters.stream()
			.filter((voter) -> replicas.isLost(voter.getId()))
			.findFirst();
		if (lostVoter.isPresent() && voters.size() > targetVoters) {
			return Optional.of(removeVoter(committedConfiguration, lostVoter.get().getId()));
		}
		boolean needsVoter = voters.size() < targetVoters || (lostVoter.isPresent() && voters.size() == targetVoters);
		Optional<ReplicaDescriptor> readyLearner = committedConfiguration.getLearnersList()
			.stream()
			.filter((learner) -> needsVoter && replicas.isCaughtUp(learner.getId()))
			.findFirst();
		if (readyLearner.isPresent()) {
			return readyLearner.map((learner) -> promoteLearner(committedConfiguration, learner));
		}
		return committedConfiguration.getLearnersList()
			.stream()
			.filter((learner) -> replicas.isForgotten(learner.getId()))
			.findFirst()
			.map((learner) -> removeLearner(committedConfiguration, learner.getId()));
	}

	// Returns the next step of the replacement of a voter whose disk is lost, or the
	// end of a replacement that has become unnecessary.
	private static Optional<Configuration> nextReplacementStep(Configuration configuration, ReplicaStates replicas) {
		ReplicaDescriptor newReplica = configuration.getReplacement().getAdded();
		long removedId = configuration.getReplacement().getRemoved();
		boolean removedVotes = contains(configuration.getVotersList(), removedId);
		if (contains(configuration.getVotersList(), newReplica.getId())) {
			return Optional.of(removeVoter(configuration, removedId).toBuilder().clearReplacement().build());
		}
		if (!removedVotes || !contains(configuration.getLearnersList(), newReplica.getId())) {
			return Optional.of(configuration.toBuilder().clearReplacement().build());
		}
		return replicas.isCaughtUp(newReplica.getId()) ? Optional.of(promoteLearner(configuration, newReplica))
				: Optional.empty();
	}

	private static Configuration promoteLearner(Configuration currentConfiguration, ReplicaDescriptor newReplica) {
		return removeLearner(currentConfiguration, newReplica.getId()).toBuilder().addVoters(newReplica).build();
	}

	private static Configuration removeLearner(Configuration currentConfiguration, long id) {
		return currentConfiguration.toBuilder()
			.clearLearners()
			.addAllLearners(withoutReplica(currentConfiguration.getLearnersList(), id))
			.build();
	}

	private static Configuration removeVoter(Configuration currentConfiguration, long id) {
		return currentConfiguration.toBuilder()
			.clearVoters()
			.addAllVoters(withoutReplica(currentConfiguration.getVotersList(), id))
			.build();
	}

	private static List<ReplicaDescriptor> withoutReplica(List<ReplicaDescriptor> replicas, long id) {
		return replicas.stream().filter((replica) -> replica.getId() != id).toList();
	}

	static boolean contains(List<ReplicaDescriptor> replicas, long id) {
		return replicas.stream().anyMatch((replica) -> replica.getId() == id);
	}

	/**
	 * What the leader knows of the other replicas. The leader itself has caught up and is
	 * not lost.
	 */
	interface ReplicaStates {

		/**
		 * Returns whether a replica responds and has all committed entries.
		 * @param id the id of the replica
		 * @return whether it has caught up
		 */
		boolean isCaughtUp(long id);

		/**
		 * Returns whether a voter has been silent for so long that another replica may
		 * take its place.
		 * @param id the id of the replica
		 * @return whether it is lost
		 */
		boolean isLost(long id);

		/**
		 * Returns whether a learner has been silent for so long that it is no longer a
		 * member.
		 * @param id the id of the replica
		 * @return whether it is forgotten
		 */
		boolean isForgotten(long id);

	}

}
