import test from 'ava';
import {readSettings, SettingsError} from '../src/daemon/settings.js';

const valid = {
	id: 'entry-1', zone: 'zone-1', store: 'http://127.0.0.1:2379', vmList: 'http://127.0.0.1:2380/vms', peerSecret: 'secret-of-daemons', operatorToken: 'operator-token', vetoTokens: 'customer=veto-token',
};

const cases: Array<{title: string; flags: Record<string, string | undefined>; problems: string[]}> = [
	{title: 'report a missing setting', flags: {...valid, id: undefined}, problems: ['--id (EELGRASSWHEEL_ID)']},
	{
		title: 'report all invalid settings at once', flags: {
			...valid, port: '0', store: 'nonsense', vetoTokens: 'x',
		}, problems: ['--port', '--store', '--veto-tokens'],
	},
	{title: 'reject a host name where an IP is expected', flags: {...valid, host: 'example.org'}, problems: ['--host']},
	{title: 'reject a confirmation interval that is too long for the lease', flags: {...valid, confirmPeriodMs: '200'}, problems: ['--confirm-period-ms']},
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

test('should read environment variables and prefer flags', t => {
	const environment = Object.fromEntries([['EELGRASSWHEEL_ZONE', 'from-environment'], ['EELGRASSWHEEL_PORT', '9000']]);
	const settings = readSettings({...valid, zone: 'from-flag'}, environment);
	t.deepEqual([settings.zone, settings.port], ['from-flag', 9000]);
});
