/**
 * Statements and permits of a daemon without peers.
 */
import {FleetView} from '../src/decisions/fleet/fleet-view.js';
import {PermitIssuers} from '../src/decisions/limits/permit-issuers.js';
import {Permits} from '../src/decisions/limits/permits.js';
import {TargetStatements} from '../src/decisions/limits/target-statements.js';
import type {EventLog} from '../src/model/events.js';

/** No other daemon answers, and this one issues permits only once it is a member of its view. */
export function createLonePermits(log: EventLog, view = new FleetView()): {statements: TargetStatements; permits: Permits} {
	const statements = new TargetStatements(log, {onNews: () => undefined, onLeaving: () => undefined});
	const sender = {request: () => undefined, answer: () => undefined};
	return {
		statements,
		permits: new Permits({
			daemon: 'daemon', statements, issuers: new PermitIssuers('daemon', view), sender, log,
		}),
	};
}
