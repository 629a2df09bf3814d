package org.radishthread.routing;

import org.radishthread.routing.SharedMachineSimulation.Load;
import org.radishthread.routing.SharedMachineSimulation.Tally;

/**
 * Prints what becomes of some loads on machines that are shared with others.
 */
public final class SharedMachineSimulationMain {

	private SharedMachineSimulationMain() {
	}

	public static void main(String[] arguments) {
		print("reads-60ms", new Load(10, 3, 60, 200, 800, 109, 1, true, 0.25, 4));
		print("reads-60ms-rush", new Load(10, 3, 60, 200, 800, 150, 2.2, true, 0.25, 4));
		print("reads-160ms", new Load(12, 6, 160, 400, 2_000, 60, 1, true, 0.35, 4));
		print("reads-160ms-full", new Load(12, 6, 160, 400, 2_000, 130, 1.5, true, 0.35, 4));
		print("reads-640ms", new Load(9, 6, 640, 1_500, 8_000, 11, 1, true, 0.35, 4));
		print("writes-210ms", new Load(7, 6, 210, 500, 2_500, 28, 1, false, 0.35, 4));
		print("reads-160ms-rush", new Load(12, 6, 160, 400, 1_000, 160, 1.6, true, 0.35, 4));
		print("writes-210ms-rush", new Load(7, 6, 210, 500, 1_200, 75, 1.6, false, 0.35, 4));
		print("reads-160ms-shed", new Load(12, 6, 160, 400, 1_000, 100, 1, true, 0.35, 4, 0.55, AttemptResult.SHED));
		print("reads-60ms-shed", new Load(10, 3, 60, 200, 800, 109, 1, true, 0.25, 4, 0.55, AttemptResult.SHED));
		print("reads-160ms-fail", new Load(12, 6, 160, 400, 1_000, 100, 1, true, 0.35, 4, 0.55, AttemptResult.FAILURE));
		print("writes-78ms-fail", new Load(8, 3, 78, 250, 1_000, 53, 1, false, 0.25, 4, 0.55, AttemptResult.FAILURE));
		print("writes-78ms-full", new Load(8, 3, 78, 250, 1_000, 80, 1.5, false, 0.25, 4));
	}

	private static void print(String name, Load load) {
		Tally tally = new SharedMachineSimulation(load, true, 5).run(40);
		System.out.printf("%-18s in-time=%.3f served=%.3f given-up=%d refused=%d%n", name, tally.inTimeShare(),
				tally.servedShare(), tally.givenUp, tally.refusedWaitMillis.size());
	}

}
