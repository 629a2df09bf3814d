package org.radishthread.agreement;

import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.Map;

import org.radishthread.protocol.ControlSnapshot;
import org.radishthread.protocol.EvacuationAnswer;
import org.radishthread.protocol.EvacuationOrder;
import org.radishthread.protocol.Evacuations;
import org.radishthread.protocol.ZoneEvacuation;

/**
 * Holds the evacuations of availability zones that operators have ordered. Each order
 * that is accepted raises the version. An order names the version of its zone that was
 * known where it was given, so that one which is applied late does not undo a later one:
 * it is superseded, unless the zone is in the ordered state already. A zone that is used
 * again is kept with its version for that reason.
 */
final class EvacuationRegistry {

	static final int RETAINED_ZONES = 256;

	private long version;

	// Keyed by the name of the zone.
	private final Map<String, ZoneEvacuation> zones = new LinkedHashMap<>();

	EvacuationAnswer order(EvacuationOrder order, long clockMillis) {
		ZoneEvacuation current = this.zones.getOrDefault(order.getZone(), ZoneEvacuation.getDefaultInstance());
		if (order.getKnownVersion() >= current.getVersion()) {
			accept(order, current, clockMillis);
			return EvacuationAnswer.newBuilder().setEvacuations(evacuations()).build();
		}
		return EvacuationAnswer.newBuilder()
			.setSuperseded(current.getEvacuated() != order.getEvacuate())
			.setEvacuations(evacuations())
			.build();
	}

	// A repeated order keeps the operator and the time of the first one.
	private void accept(EvacuationOrder order, ZoneEvacuation current, long clockMillis) {
		// Instances may hold a higher version of a group that was formed before this one.
		this.version = Math.max(this.version, order.getKnownStateVersion()) + 1;
		boolean repeated = current.getVersion() > 0 && current.getEvacuated() == order.getEvacuate();
		this.zones.put(order.getZone(),
				ZoneEvacuation.newBuilder()
					.setZone(order.getZone())
					.setEvacuated(order.getEvacuate())
					.setRequestedBy(repeated ? current.getRequestedBy() : order.getRequestedBy())
					.setOrderedAtMillis(repeated ? current.getOrderedAtMillis() : clockMillis)
					.setVersion(this.version)
					.build());
		if (this.zones.size() > RETAINED_ZONES) {
			this.zones.values()
				.stream()
				.filter((zone) -> !zone.getEvacuated())
				.min(Comparator.comparingLong(ZoneEvacuation::getVersion))
				.ifPresent((oldest) -> this.zones.remove(oldest.getZone()));
		}
	}

	Evacuations evacuations() {
		return Evacuations.newBuilder().setVersion(this.version).addAllZones(this.zones.values()).build();
	}

	long version() {
		return this.version;
	}

	int zoneCount() {
		return this.zones.size();
	}

	// Writes nothing if no order was ever given.
	void writeTo(ControlSnapshot.Builder snapshot) {
		if (this.version > 0) {
			snapshot.setEvacuations(evacuations());
		}
	}

	void restore(ControlSnapshot snapshot) {
		this.version = snapshot.getEvacuations().getVersion();
		this.zones.clear();
		snapshot.getEvacuations().getZonesList().forEach((zone) -> this.zones.put(zone.getZone(), zone));
	}

}
