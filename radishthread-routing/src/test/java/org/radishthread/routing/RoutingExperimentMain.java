package org.radishthread.routing;

import java.util.ArrayList;
import java.util.List;

import org.radishthread.routing.ExperimentCase.Disturbance;
import org.radishthread.routing.ExperimentCase.Site;

/**
 * Prints the comparison of all ways of choosing an upstream.
 */
public final class RoutingExperimentMain {

	private static final long SECONDS = 30;

	private static final long SEED = 20261203;

	private RoutingExperimentMain() {
	}

	public static void main(String[] arguments) {
		System.out.println(ExperimentResult.HEADER);
		cases().parallelStream().map(RoutingExperimentMain::compare).forEachOrdered(System.out::print);
	}

	private static List<ExperimentCase> cases() {
		List<ExperimentCase> cases = new ArrayList<>();
		for (Site site : Site.values()) {
			for (double load : new double[] { 0.5, 0.8, 0.95 }) {
				cases.add(ExperimentCase.of(site, load, Disturbance.NONE));
			}
			for (Disturbance disturbance : Disturbance.values()) {
				if (disturbance != Disturbance.NONE) {
					cases.add(ExperimentCase.of(site, 0.8, disturbance));
				}
			}
		}
		for (long stale : new long[] { 50, 500 }) {
			cases.add(new ExperimentCase("BRAZOS 80% reports " + stale + " ms old", Site.BRAZOS, 0.8, Disturbance.NONE,
					stale, false));
		}
		cases.add(new ExperimentCase("BRAZOS 80% reports too low", Site.BRAZOS, 0.8, Disturbance.NONE, 5, true));
		return cases;
	}

	private static String compare(ExperimentCase experiment) {
		ExperimentResult bound = new RoutingExperiment(experiment, ComparedPolicy.RANDOM, SECONDS, SEED).bound();
		StringBuilder rows = new StringBuilder(bound.row(bound)).append('\n');
		for (ComparedPolicy policy : ComparedPolicy.values()) {
			rows.append(new RoutingExperiment(experiment, policy, SECONDS, SEED).run().row(bound)).append('\n');
		}
		return rows.toString();
	}

}
