/**
 * Logs how evacuations of availability zones proceed, as this daemon sees them.
 */
import {LogEvent, type EventLog} from '../../model/events.js';
import type {TargetLoads} from '../forwarding/target-loads.js';
import type {FleetView} from './fleet-view.js';

/** Time without a request in flight after which a zone counts as idle, in milliseconds; hubs of 70 daemons report every 350 ms. */
const idleMs = 500;

/** An evacuation in force. */
type Evacuation = {
	beganAt: number;
	/** When a request was last known to be in flight to the zone. */
	usedAt: number;
	isIdle: boolean;
	areKeysMoved: boolean;
};

export type EvacuationLogOptions = {
	view: FleetView;
	loads: Pick<TargetLoads, 'inFlight'>;
	log: EventLog;
};

export class EvacuationLog {
	private readonly evacuations = new Map<string, Evacuation>();

	constructor(private readonly options: EvacuationLogOptions) {}

	/** Called periodically. */
	tick(now = performance.now()): void {
		const {view} = this.options;
		for (const [zone, evacuation] of this.evacuations) {
			if (!view.evacuatedZones.has(zone)) {
				this.evacuations.delete(zone);
				this.record(LogEvent.EvacuationEnded, zone, evacuation, now);
			}
		}

		for (const zone of view.evacuatedZones) {
			const evacuation = this.evacuations.get(zone) ?? this.begin(zone, now);
			this.recordProgress(zone, evacuation, now);
		}
	}

	private begin(zone: string, now: number): Evacuation {
		const evacuation = {
			beganAt: now, usedAt: now, isIdle: false, areKeysMoved: false,
		};
		this.evacuations.set(zone, evacuation);
		this.record(LogEvent.EvacuationBegan, zone, evacuation, now);
		return evacuation;
	}

	/** Logs each step of an evacuation once. */
	private recordProgress(zone: string, evacuation: Evacuation, now: number): void {
		const {view, loads} = this.options;
		if (!evacuation.areKeysMoved && view.rangesIn(zone) === 0) {
			evacuation.areKeysMoved = true;
			this.record(LogEvent.EvacuationKeysMoved, zone, evacuation, now);
		}

		if (evacuation.isIdle) {
			return;
		}

		if (this.targetsIn(zone).some(id => loads.inFlight(id) > 0)) {
			evacuation.usedAt = now;
		} else if (now - evacuation.usedAt >= idleMs) {
			evacuation.isIdle = true;
			this.record(LogEvent.EvacuationIdle, zone, evacuation, now);
		}
	}

	private record(event: LogEvent, availabilityZone: string, {beganAt, usedAt}: Evacuation, now: number): void {
		const {view, log} = this.options;
		log.record(event, {
			availabilityZone,
			targets: this.targetsIn(availabilityZone).length,
			ranges: view.rangesIn(availabilityZone),
			sinceMs: Math.round((event === LogEvent.EvacuationIdle ? usedAt : now) - beganAt),
		});
	}

	private targetsIn(zone: string): string[] {
		return [...this.options.view.listedTargets()].filter(({availabilityZone}) => availabilityZone === zone).map(({id}) => id);
	}
}
