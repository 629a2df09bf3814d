package org.radishthread.routing;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.CategoryChart;
import org.knowm.xchart.CategoryChartBuilder;

import org.radishthread.routing.ExperimentCase.Disturbance;
import org.radishthread.routing.ExperimentCase.Site;

/**
 * Compares all policies for choosing an upstream and prints the results as a table.
 */
public final class RoutingExperimentMain {

	private static final long DURATION_SECONDS = 30;

	private static final long SEED = 20261203;

	private RoutingExperimentMain() {
	}

	/**
	 * Prints the table and draws a chart of the cases with steady load if a file is
	 * given.
	 * @param arguments the file name of the chart without its extension, or nothing
	 * @throws IOException if the chart cannot be written
	 */
	public static void main(String[] arguments) throws IOException {
		System.out.println(ExperimentResult.TABLE_HEADER);
		cases().parallelStream().map(RoutingExperimentMain::compare).forEachOrdered(System.out::print);
		if (arguments.length > 0) {
			draw(arguments[0]);
		}
	}

	private static void draw(String file) throws IOException {
		CategoryChart chart = new CategoryChartBuilder().width(900)
			.height(420)
			.title("p99 over the bound, steady load (shared counts left out: over 25)")
			.yAxisTitle("p99 / bound")
			.build();
		chart.getStyler().setXAxisLabelRotation(20);
		for (Site site : List.of(Site.BRAZOS, Site.STOYNOV)) {
			List<String> names = new ArrayList<>();
			List<Double> ratios = new ArrayList<>();
			for (double load : new double[] { 0.5, 0.8, 0.95 }) {
				ExperimentCase experiment = ExperimentCase.of(site, load, Disturbance.NONE);
				ExperimentResult lowerBound = new RoutingExperiment(experiment, ComparedPolicy.RANDOM, DURATION_SECONDS,
						SEED)
					.runLowerBound();
				for (ComparedPolicy policy : ComparedPolicy.values()) {
					if (!policy.sharesCounts()) {
						names.add((int) (load * 100) + "% " + policy.name().toLowerCase(Locale.ROOT));
						ratios.add(new RoutingExperiment(experiment, policy, DURATION_SECONDS, SEED).run()
							.latencyRatio(lowerBound, 99));
					}
				}
			}
			chart.addSeries(site.name(), names, ratios);
		}
		BitmapEncoder.saveBitmap(chart, file, BitmapEncoder.BitmapFormat.PNG);
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
		for (long maximumReportAgeMillis : new long[] { 50, 500 }) {
			cases.add(new ExperimentCase("BRAZOS 80% reports " + maximumReportAgeMillis + " ms old", Site.BRAZOS, 0.8,
					Disturbance.NONE, maximumReportAgeMillis, false));
		}
		cases.add(new ExperimentCase("BRAZOS 80% reports too low", Site.BRAZOS, 0.8, Disturbance.NONE, 5, true));
		return cases;
	}

	private static String compare(ExperimentCase experiment) {
		ExperimentResult lowerBound = new RoutingExperiment(experiment, ComparedPolicy.RANDOM, DURATION_SECONDS, SEED)
			.runLowerBound();
		StringBuilder rows = new StringBuilder(lowerBound.toTableRow(lowerBound)).append('\n');
		for (ComparedPolicy policy : ComparedPolicy.values()) {
			rows.append(new RoutingExperiment(experiment, policy, DURATION_SECONDS, SEED).run().toTableRow(lowerBound))
				.append('\n');
		}
		return rows.toString();
	}

}
