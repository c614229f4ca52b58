/**
 * Calls of a daemon to other processes, made in a thread with the daemon's memory: many to a faulty server, and meanwhile some to a
 * sound one.
 */
import {get} from 'node:http';
import process from 'node:process';
import {monitorEventLoopDelay} from 'node:perf_hooks';
import {Writable} from 'node:stream';
import {setTimeout as delay} from 'node:timers/promises';
import {
	isMainThread, parentPort, Worker, workerData,
} from 'node:worker_threads';
import {Cancellation} from '../src/model/cancellation.js';
import {serviceSchema} from '../src/model/configuration.js';
import {Deadline} from '../src/model/deadline.js';
import {AttemptEnd, type AttemptResult, type CallerRequest} from '../src/model/forwarding.js';
import {AttemptEnd as RoutedAttemptEnd, type RoutedRequest} from '../src/model/request.js';
import {TrpcPeers} from '../src/peers/trpc-peers.js';
import {PlatformKeyOrders} from '../src/platform/key-orders.js';
import {PlatformStore} from '../src/platform/platform-store.js';
import {PeerRelayTransport} from '../src/platform/relay.js';
import {PlatformTargetProtocol} from '../src/platform/target-protocol.js';
import {EtcdStore} from '../src/published/etcd-store.js';
import {HttpVmList} from '../src/published/http-vm-list.js';
import {HttpTargetControl} from '../src/targets/http-target-control.js';
import {HttpTransport} from '../src/targets/http-transport.js';
import {TargetTransport} from '../src/transport/target-transport.js';
import {callerRequest} from './caller-request.js';
import {ForwardingGateway} from './forwarding-gateway.js';

/** Ways on which a daemon reads the answers of other processes. */
export enum CallPath {
	Request = 'requests',
	RelayedRequest = 'relayed requests',
	/** Callers at a gateway that read their answers as they arrive, that read nothing, and that have an earlier request at work. */
	ReadAnswer = 'answers that callers read',
	UnreadAnswer = 'answers that callers do not read',
	WaitingAnswer = 'answers that wait for an earlier one',
	HealthCheck = 'health checks',
	Order = 'orders',
	StoreCall = 'calls of the store',
	PublishedRequest = 'requests of the published interface',
	PublishedHealthCheck = 'health checks of the published interface',
	PublishedOrder = 'orders of the published interface',
	PeerCall = 'peer calls',
	PublishedStoreCall = 'calls of the published store',
	VmList = 'reads of the VM list',
}

/** Makes one call; returns true if its answer was taken as whole. */
type Call = (address: string) => Promise<boolean>;

export type SpoiledCallsOptions = {
	path: CallPath;
	faultyAddress: string;
	soundAddress: string;
	count: number;
	/** Timeout of the calls in milliseconds. */
	timeoutMs: number;
	/** Heap of the thread in megabytes. */
	heapMb: number;
};

export type SpoiledCallsResult = {
	/** Calls to the faulty server that took its answer as whole, and all of them that have ended. */
	acceptedCount: number;
	endedCount: number;
	/** Calls to the sound server. */
	servedCount: number;
	failedCount: number;
	/** Largest amount of memory that the thread used for objects and bytes, in megabytes. */
	peakMb: number;
	/** Longest time for which the thread served nothing else, in milliseconds. */
	longestStallMs: number;
};

/** Interval between two samples of the memory, and between two calls to the sound server, in milliseconds. */
const sampleMs = 5;

const megabyte = 1_048_576;

const nanosecondsPerMs = 1e6;

/** Key that requests and orders name. */
const range = {first: 0, last: 9};

/** A caller that reads nothing. */
function unreadSink(): Writable {
	return new Writable({
		write() {
			// Never calls back, so that the stream stays full.
		},
	});
}

function spoiledRequest(): CallerRequest {
	return callerRequest('/a', {headers: ['Host', 'h', 'Attempt-Id', 'request-1'], beginStream: unreadSink});
}

function routedRequest(timeoutMs: number): RoutedRequest {
	const service = serviceSchema.parse({
		name: 'registry', customer: 'c', pathPrefix: '/', divided: false, classes: [{
			name: 'read', methods: ['GET'], priority: 'read', deadlineMs: timeoutMs, idempotent: true,
		}],
	});
	return {
		service,
		requestClass: service.classes[0],
		key: undefined,
		instructionId: undefined,
		method: 'GET',
		path: '/',
		headers: [],
		body: undefined,
		isForwarded: false,
		receivedAt: performance.now(),
		deadlineAt: performance.now() + timeoutMs,
		cancellation: new Cancellation(),
		responder: {start: unreadSink, abort: () => undefined},
	};
}

const isWhole = ({end}: AttemptResult): boolean => end === AttemptEnd.Answered;

/** Resolves with true if the operation does. */
async function succeeds(operation: Promise<unknown>): Promise<boolean> {
	return operation.then(() => true, () => false);
}

/** Makes calls through a gateway; those to the faulty server may be left unread, or be made behind a request that takes longer. */
function gatewayCall(path: CallPath, timeoutMs: number): Call {
	const gateway = new ForwardingGateway(timeoutMs);
	const {faultyAddress} = workerData as SpoiledCallsOptions;
	return async address => {
		const port = await gateway.start();
		if (path === CallPath.WaitingAnswer && address === faultyAddress) {
			return gateway.isAnsweredBehindHeld(port, address);
		}

		return new Promise(resolve => {
			const request = get({port, path: `/${address}`, agent: false}, response => {
				response.once('close', () => {
					resolve(response.complete);
				});
				if (path === CallPath.UnreadAnswer && address === faultyAddress) {
					// Its connection is closed by the gateway, which is noticed without reading.
					request.socket?.once('close', () => {
						resolve(false);
					});
					setTimeout(() => {
						response.destroy();
					}, timeoutMs);
					return;
				}

				response.resume();
			});
			request.once('error', () => {
				resolve(false);
			});
		});
	};
}

function callOf(path: CallPath, timeoutMs: number): Call {
	const attempt = {
		budgetMs: timeoutMs, timeoutMs, connectionLimit: 64, onStatement: () => undefined,
	};
	const incarnation = (address: string) => ({id: 'target', bornAt: 0, address});
	const deadline = (): Deadline => Deadline.after(timeoutMs, 'call');
	switch (path) {
		case CallPath.Request: {
			const transport = new TargetTransport(new PlatformTargetProtocol());
			return async address => isWhole(await transport.send(spoiledRequest(), {...attempt, target: incarnation(address), cancellation: new Cancellation()}));
		}

		case CallPath.RelayedRequest: {
			const transport = new PeerRelayTransport('daemon-1');
			return async address => {
				const [ip = '', port] = address.split(':');
				return isWhole(await transport.relay(spoiledRequest(), {
					...attempt, deliveredAttempts: 0, cancellation: new Cancellation(), peer: {
						daemon: 'daemon-2', availabilityZone: 'zone', ip, port: Number(port), room: 1,
					},
				}));
			};
		}

		case CallPath.ReadAnswer:
		case CallPath.UnreadAnswer:
		case CallPath.WaitingAnswer: {
			return gatewayCall(path, timeoutMs);
		}

		case CallPath.HealthCheck: {
			const orders = new PlatformKeyOrders();
			return async address => succeeds(orders.identify(incarnation(address), '/health', timeoutMs));
		}

		case CallPath.Order: {
			const orders = new PlatformKeyOrders();
			return async address => succeeds(orders.release(incarnation(address), {range, fence: 1, timeoutMs}));
		}

		case CallPath.StoreCall: {
			return async address => succeeds(new PlatformStore(address).read('key'));
		}

		case CallPath.PublishedRequest: {
			const transport = new HttpTransport();
			return async address => {
				const {end} = await transport.send(routedRequest(timeoutMs), {
					server: {id: 's', address},
					headers: [],
					shard: undefined,
					epoch: undefined,
					startByMs: Date.now() + timeoutMs,
					connectionLimit: 64,
					timeoutMs,
					guard: () => undefined,
					cancellation: new Cancellation(),
				});
				return end === RoutedAttemptEnd.Completed;
			};
		}

		case CallPath.PublishedHealthCheck: {
			const control = new HttpTargetControl();
			return async address => succeeds(control.probe({id: 's', address} as Parameters<typeof control.probe>[0], deadline()));
		}

		case CallPath.PublishedOrder: {
			const control = new HttpTargetControl();
			return async address => succeeds(control.grant({id: 's', address} as Parameters<typeof control.grant>[0], {
				service: 'registry', term: 1, grants: [], revocations: [],
			}, deadline()));
		}

		case CallPath.PeerCall: {
			return async address => {
				const peers = new TrpcPeers(() => [{id: 'daemon-2', address}], 'secret', 'daemon-1');
				return succeeds(peers.confirm('daemon-2', deadline()));
			};
		}

		case CallPath.PublishedStoreCall: {
			return async address => succeeds(new EtcdStore([`http://${address}`]).read('key', deadline()));
		}

		case CallPath.VmList: {
			return async address => succeeds(new HttpVmList(`http://${address}/vms`).read(deadline()));
		}
	}
}

/** Makes the calls in a thread of their own; rejects if the thread runs out of memory. */
export async function makeSpoiledCalls(options: SpoiledCallsOptions): Promise<SpoiledCallsResult> {
	return new Promise((resolve, reject) => {
		const worker = new Worker(new URL(import.meta.url), {workerData: options, resourceLimits: {maxOldGenerationSizeMb: options.heapMb, maxYoungGenerationSizeMb: 3}});
		worker.once('message', resolve);
		worker.once('error', reject);
		worker.once('exit', code => {
			reject(new Error(`The thread ended with code ${code}.`));
		});
	});
}

async function run({path, faultyAddress, soundAddress, count, timeoutMs}: SpoiledCallsOptions): Promise<SpoiledCallsResult> {
	const call = callOf(path, timeoutMs);
	const result: SpoiledCallsResult = {
		acceptedCount: 0, endedCount: 0, servedCount: 0, failedCount: 0, peakMb: 0, longestStallMs: 0,
	};
	const sampler = setInterval(() => {
		const {heapUsed, external} = process.memoryUsage();
		result.peakMb = Math.max(result.peakMb, Math.round((heapUsed + external) / megabyte));
	}, sampleMs);
	const stalls = monitorEventLoopDelay({resolution: 1});
	stalls.enable();
	const spoiled = Promise.all(Array.from({length: count}, async () => {
		result.acceptedCount += Number(await call(faultyAddress));
		result.endedCount += 1;
	}));
	while (result.endedCount < count || result.servedCount === 0) {
		// eslint-disable-next-line no-await-in-loop -- one call after another.
		const isServed = await call(soundAddress);
		result.servedCount += Number(isServed);
		result.failedCount += Number(!isServed);
		// eslint-disable-next-line no-await-in-loop -- see above.
		await delay(sampleMs);
	}

	await spoiled;
	clearInterval(sampler);
	stalls.disable();
	result.longestStallMs = Math.round(stalls.max / nanosecondsPerMs);
	return result;
}

if (!isMainThread && parentPort && (workerData as Partial<SpoiledCallsOptions> | undefined)?.faultyAddress !== undefined) {
	parentPort.postMessage(await run(workerData as SpoiledCallsOptions));
	process.exit();
}
