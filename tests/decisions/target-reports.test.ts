import test from 'ava';
import {FleetView} from '../../src/decisions/fleet/fleet-view.js';
import {LogEvent} from '../../src/model/events.js';
import {DatagramPeers} from '../../src/peers/datagram-peers.js';
import {silentStatement} from '../../standins/limited-target.js';
import {createLonePermits} from '../../standins/lone-permits.js';
import {target} from '../../standins/relayed-fleet.js';

test('should log an unreadable report once for each incarnation and change nothing', t => {
	const events: LogEvent[] = [];
	const {statements} = createLonePermits({
		record(event) {
			events.push(event);
		},
	});
	const first = target('a');
	for (const told of [first, first, {...first, bornAt: 2}, {...first, bornAt: 2}]) {
		statements.record(told, {...silentStatement, unreadableReport: 'server-load: x'}, 0);
	}

	t.deepEqual(events, [LogEvent.TargetReportUnreadable, LogEvent.TargetReportUnreadable]);
	t.is(statements.limitOf(first), undefined);
});

/** Guards against a cold target that counts as warm because an answer or entry from before overtook a newer one. */
test('should never shorten the warm-up time that a target told, unless it was started again', t => {
	const view = new FleetView();
	view.applyTarget(target('a'), 0);
	t.true(view.extendWarmUp('a', 3000, 100));
	t.false(view.extendWarmUp('a', 0, 200));
	t.false(view.extendWarmUp('a', 2950, 200));
	view.applyTarget(target('a'), 300);
	t.is(view.warmUpLeft('a', 1100), 2050);
	view.applyTarget({...target('a'), bornAt: 2}, 1200);
	t.is(view.warmUpLeft('a', 1200), 0);
	t.false(view.extendWarmUp('unknown', 3000, 1200));
});

/** Guards against the end of the process by an exception, because slots are released while requests are cut in a shutdown. */
test('should ignore messages after the close', t => {
	const peers = new DatagramPeers<Record<string, unknown>>(() => ({}), () => undefined, () => undefined);
	peers.close();
	t.notThrows(() => {
		peers.send({}, [{
			daemon: 'a', availabilityZone: 'zone', ip: '127.0.0.1', port: 9, room: 1,
		}]);
	});
});
