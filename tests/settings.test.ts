import test from 'ava';
import {readSettings, SettingsError} from '../src/daemon/settings.js';

const valid = {
	id: 'entry-1', zone: 'zone-1', store: 'http://127.0.0.1:2379', vmList: 'http://127.0.0.1:2380/vms', peerSecret: 'secret-of-daemons', operatorToken: 'operator-token', vetoTokens: 'customer=veto-token',
};

const cases: Array<{title: string; flags: Record<string, string | undefined>; problems: string[]}> = [
	{title: 'name a missing setting', flags: {...valid, id: undefined}, problems: ['--id (EELGRASSWHEEL_ID)']},
	{
		title: 'name every wrong setting at once', flags: {
			...valid, port: '0', store: 'nonsense', vetoTokens: 'x',
		}, problems: ['--port', '--store', '--veto-tokens'],
	},
	{title: 'refuse a host name where an IP is expected', flags: {...valid, host: 'example.org'}, problems: ['--host']},
	{title: 'refuse confirmations that are too rare for the lease', flags: {...valid, confirmPeriodMs: '200'}, problems: ['--confirm-period-ms']},
];

for (const {title, flags, problems} of cases) {
	test(`should ${title}`, t => {
		const error = t.throws(() => readSettings(flags, {}), {instanceOf: SettingsError});
		t.is(error.problems.length, problems.length);
		for (const [index, problem] of problems.entries()) {
			t.true(error.problems[index].includes(problem));
		}
	});
}

test('should take environment variables, and flags before them', t => {
	const environment = Object.fromEntries([['EELGRASSWHEEL_ZONE', 'from-environment'], ['EELGRASSWHEEL_PORT', '9000']]);
	const settings = readSettings({...valid, zone: 'from-flag'}, environment);
	t.deepEqual([settings.zone, settings.port], ['from-flag', 9000]);
});
