package org.radishthread.routing;

import org.radishthread.routing.SharedMachineSimulation.Counts;
import org.radishthread.routing.SharedMachineSimulation.Workload;

/**
 * Prints the results of {@link SharedMachineSimulation} for several workloads.
 */
public final class SharedMachineSimulationMain {

	private SharedMachineSimulationMain() {
	}

	public static void main(String[] arguments) {
		print("reads-60ms", new Workload(10, 3, 60, 200, 800, 109, 1, true, 0.25, 4));
		print("reads-60ms-rush", new Workload(10, 3, 60, 200, 800, 150, 2.2, true, 0.25, 4));
		print("reads-160ms", new Workload(12, 6, 160, 400, 2_000, 60, 1, true, 0.35, 4));
		print("reads-160ms-full", new Workload(12, 6, 160, 400, 2_000, 130, 1.5, true, 0.35, 4));
		print("reads-640ms", new Workload(9, 6, 640, 1_500, 8_000, 11, 1, true, 0.35, 4));
		print("writes-210ms", new Workload(7, 6, 210, 500, 2_500, 28, 1, false, 0.35, 4));
		print("reads-160ms-rush", new Workload(12, 6, 160, 400, 1_000, 160, 1.6, true, 0.35, 4));
		print("writes-210ms-rush", new Workload(7, 6, 210, 500, 1_200, 75, 1.6, false, 0.35, 4));
		print("reads-160ms-shed",
				new Workload(12, 6, 160, 400, 1_000, 100, 1, true, 0.35, 4, 0.55, AttemptResult.SHED));
		print("reads-60ms-shed", new Workload(10, 3, 60, 200, 800, 109, 1, true, 0.25, 4, 0.55, AttemptResult.SHED));
		print("reads-160ms-fail",
				new Workload(12, 6, 160, 400, 1_000, 100, 1, true, 0.35, 4, 0.55, AttemptResult.FAILURE));
		print("writes-78ms-fail",
				new Workload(8, 3, 78, 250, 1_000, 53, 1, false, 0.25, 4, 0.55, AttemptResult.FAILURE));
		print("writes-78ms-full", new Workload(8, 3, 78, 250, 1_000, 80, 1.5, false, 0.25, 4));
	}

	private static void print(String name, Workload workload) {
		Counts counts = new SharedMachineSimulation(workload, true, 5).run(40);
		System.out.printf("%-18s in-time=%.3f served=%.3f given-up=%d refused=%d%n", name,
				counts.withinObjectiveShare(), counts.servedShare(), counts.timeouts,
				counts.timesToRefusalMillis.size());
	}

}
