import test from 'ava';
import {FailureCount} from '../src/daemon/failure-count.js';

const cases = [
	{title: 'not end a daemon after one failure', times: [0], isTooMany: false},
	{title: 'not end a daemon after rare failures', times: Array.from({length: 60}, (_, index) => index * 1000), isTooMany: false},
	{title: 'end a daemon whose failures repeat', times: Array.from({length: 20}, (_, index) => index * 100), isTooMany: true},
];

for (const {title, times, isTooMany} of cases) {
	test(`should ${title}`, t => {
		const failures = new FailureCount();
		t.is(times.map(time => failures.note(time)).at(-1), isTooMany);
	});
}
