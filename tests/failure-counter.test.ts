import test from 'ava';
import {FailureCounter} from '../src/daemon/failure-counter.js';

const cases = [
	{title: 'not restart the daemon after one failure', times: [0], isTooMany: false},
	{title: 'not restart the daemon after occasional failures', times: Array.from({length: 60}, (_, index) => index * 1000), isTooMany: false},
	{title: 'restart the daemon after repeated failures', times: Array.from({length: 20}, (_, index) => index * 100), isTooMany: true},
];

for (const {title, times, isTooMany} of cases) {
	test(`should ${title}`, t => {
		const failures = new FailureCounter();
		t.is(times.map(time => failures.record(time)).at(-1), isTooMany);
	});
}
