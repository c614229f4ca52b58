import test from 'ava';
import {Cancellation} from '../../src/model/cancellation.js';
import {StoreUnavailableError, TargetUnavailableError} from '../../src/model/errors.js';
import {AttemptEnd, type CallerRequest} from '../../src/model/forwarding.js';
import {PlatformKeyOrders} from '../../src/platform/key-orders.js';
import {PlatformStore} from '../../src/platform/platform-store.js';
import {PlatformTargetProtocol} from '../../src/platform/target-protocol.js';
import {canConnect} from '../../src/transport/connection-probe.js';
import {TargetTransport} from '../../src/transport/target-transport.js';

/** Addresses that an entry or an assignment can hold and that nothing can be sent to. */
const addresses = [
	{title: 'a port that is too high', address: '127.60.1.1:99999'},
	{title: 'a port just above the highest', address: '127.60.1.1:65536'},
	{title: 'port 0', address: '127.60.1.1:0'},
	{title: 'a negative port', address: '127.60.1.1:-1'},
	{title: 'a port that is a fraction', address: '127.60.1.1:80.5'},
	{title: 'no port', address: '127.60.1.1'},
	{title: 'an empty port', address: '127.60.1.1:'},
	{title: 'two ports', address: '127.60.1.1:80:81'},
	{title: 'an octet above 255', address: '999.0.0.1:80'},
	{title: 'an octet that could be octal', address: '127.060.1.1:80'},
	{title: 'three octets', address: '127.60.1:80'},
	{title: 'a host name', address: 'target.invalid:80'},
	{title: 'an IPv6 address', address: '[::1]:80'},
	{title: 'a path', address: '127.60.1.1:80/path'},
	{title: 'credentials', address: 'user@127.60.1.1:80'},
	{title: 'a line break', address: '127.60.1.1\r\n:80'},
	{title: 'a broadcast address', address: '255.255.255.255:80'},
	{title: 'nothing', address: ''},
	{title: 'a long text', address: `${'1'.repeat(100_000)}:80`},
];

const timeoutMs = 500;
const range = {first: 0, last: 9};

function request(): CallerRequest {
	return {
		method: 'POST',
		path: '/records/1',
		host: 'host.example',
		headers: [],
		requestId: 'request-1',
		key: 1,
		budgetMs: timeoutMs,
		receivedAt: 0,
		body: undefined,
		cancellation: new Cancellation(),
		beginStream() {
			throw new Error('Unexpected call: there is no answer.');
		},
		abortStream() {
			throw new Error('Unexpected call: there is no answer.');
		},
	};
}

for (const {title, address} of addresses) {
	const target = {id: 'target-1', bornAt: 1, address};

	test(`should end an attempt as not sent instead of failing unexpectedly if the address is ${title}`, async t => {
		const transport = new TargetTransport(new PlatformTargetProtocol());
		const result = await transport.send(request(), {
			target,
			timeoutMs,
			budgetMs: timeoutMs,
			connectionLimit: 1,
			cancellation: new Cancellation(),
			onStatement() {
				throw new Error('Unexpected call: there is no answer.');
			},
		});
		t.is(result.end, AttemptEnd.NotSent);
		t.is(transport.pool.inUseCount(address), 0);
	});

	test(`should report a target as unavailable instead of failing unexpectedly if the address is ${title}`, async t => {
		const orders = new PlatformKeyOrders();
		const failure = {instanceOf: TargetUnavailableError};
		await t.throwsAsync(orders.grant(target, {
			range, fence: 1, holdDurationMs: 1000, handover: undefined, timeoutMs,
		}), failure);
		await t.throwsAsync(orders.release(target, {range, fence: 1, timeoutMs}), failure);
		await t.throwsAsync(orders.identify(target, '/health', timeoutMs), failure);
	});

	test(`should find that nothing can be reached instead of failing unexpectedly if the address is ${title}`, async t => {
		t.false(await canConnect(address));
	});

	test(`should report the store as unavailable instead of failing unexpectedly if the address is ${title}`, async t => {
		const store = new PlatformStore(address);
		const failure = {instanceOf: StoreUnavailableError};
		await t.throwsAsync(store.list(''), failure);
		await t.throwsAsync(store.watch('', 1, timeoutMs), failure);
		await t.throwsAsync(store.write({expected: [], puts: [{key: 'key', value: 'value'}]}), failure);
	});
}
