import test from 'ava';
import {readTargetStatement} from '../../src/platform/target-statement-reader.js';
import type {TargetStatement} from '../../src/model/target-statement.js';

const silent: TargetStatement = {
	limitPerS: undefined, unreadableLimit: undefined, isLeaving: false, pauseMs: undefined, hasRun: true,
};

type Case = {title: string; status?: number; headers: Record<string, string | string[]>; expected: Partial<TargetStatement>};

const cases: Case[] = [
	{title: 'no header', headers: {}, expected: {}},
	{title: 'a whole number', headers: {'server-limit': '4'}, expected: {limitPerS: 4}},
	{title: 'a fraction', headers: {'server-limit': '0.25'}, expected: {limitPerS: 0.25}},
	{title: '0', headers: {'server-limit': '0'}, expected: {limitPerS: 0}},
	{title: 'the lowest of two headers', headers: {'server-limit': ['7', '3.5']}, expected: {limitPerS: 3.5}},
	{title: 'a comma as a list', headers: {'server-limit': '3,4'}, expected: {limitPerS: 3}},
	{title: 'a negative number as unreadable', headers: {'server-limit': '-1'}, expected: {unreadableLimit: '-1'}},
	{title: 'NaN as unreadable', headers: {'server-limit': 'NaN'}, expected: {unreadableLimit: 'NaN'}},
	{title: 'an exponent as unreadable', headers: {'server-limit': '1e300'}, expected: {unreadableLimit: '1e300'}},
	{title: 'an empty value as unreadable', headers: {'server-limit': ''}, expected: {unreadableLimit: ''}},
	{title: '64 KiB as unreadable, shortened', headers: {'server-limit': '9'.repeat(65_536)}, expected: {unreadableLimit: '9'.repeat(32)}},
	{title: 'a huge number as the highest limit', headers: {'server-limit': '999999999999'}, expected: {limitPerS: 100_000}},
	{title: 'leaving', headers: {'server-leaving': '1'}, expected: {isLeaving: true}},
	{title: 'not leaving', headers: {'server-leaving': '0'}, expected: {isLeaving: false}},
	{
		title: 'a load', headers: {'server-load': '3,1,3'}, expected: {
			load: {
				running: 3, waiting: 1, slots: 3, slowness: undefined,
			},
		},
	},
	{
		title: 'a load with slowness', headers: {'server-load': ' 0, 0,3 ,300'}, expected: {
			load: {
				running: 0, waiting: 0, slots: 3, slowness: 300,
			},
		},
	},
	{
		title: 'huge numbers of a load as the highest', headers: {'server-load': '999999999,1,3,999999'}, expected: {
			load: {
				running: 100_000, waiting: 1, slots: 3, slowness: 10_000,
			},
		},
	},
	...['', '1,2', '1,2,3,4,5', '1,2,0', '1,-2,3', '1,2,3,0', '1,2,3,', '1.5,2,3', '1,2,3,fast', 'NaN,0,3'].map(text => ({
		title: `the load '${text}' as unreadable`, headers: {'server-load': text}, expected: {unreadableReport: `server-load: ${text}`},
	})),
	{title: 'two loads as unreadable', headers: {'server-load': ['1,2,3', '1,0,3']}, expected: {unreadableReport: 'server-load: 1,2,3,1,0,3'}},
	{title: 'a warm-up time', headers: {'warmup-left-ms': '2500'}, expected: {warmUpLeftMs: 2500}},
	{title: 'a huge warm-up time as a day', headers: {'warmup-left-ms': '99999999999'}, expected: {warmUpLeftMs: 86_400_000}},
	{
		title: 'a load beside an unreadable warm-up time',
		headers: {'server-load': '1,0,3', 'warmup-left-ms': 'soon'},
		expected: {
			load: {
				running: 1, waiting: 0, slots: 3, slowness: undefined,
			}, unreadableReport: 'warmup-left-ms: soon',
		},
	},
	{
		title: 'seconds of a pause', status: 503, headers: {'retry-after': '2'}, expected: {pauseMs: 2000},
	},
	{
		title: 'a fraction of a second', status: 503, headers: {'retry-after': '1.5'}, expected: {pauseMs: 1500},
	},
	{
		title: 'a date that has passed', status: 503, headers: {'retry-after': 'Wed, 21 Oct 2015 07:28:00 GMT'}, expected: {},
	},
	{
		title: 'a date far ahead as the longest pause', status: 503, headers: {'retry-after': 'Wed, 21 Oct 2199 07:28:00 GMT'}, expected: {pauseMs: 120_000},
	},
	{
		title: 'text in place of seconds', status: 503, headers: {'retry-after': 'soon'}, expected: {},
	},
	{
		title: 'a negative pause', status: 503, headers: {'retry-after': '-5'}, expected: {},
	},
	{
		title: 'no pause with another status', status: 429, headers: {'retry-after': '2'}, expected: {},
	},
];

for (const {title, status = 200, headers, expected} of cases) {
	test(`should read ${title}`, t => {
		t.deepEqual(readTargetStatement(status, headers, true), {...silent, ...expected});
	});
}
