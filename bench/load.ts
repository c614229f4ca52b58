/**
 * Load generator: a closed loop measures saturation, an open loop measures latency from the intended send time.
 */
import {build, type Histogram} from 'hdr-histogram-js';
import {Pool} from 'undici';

/** Results of a load. */
export type LoadResult = {
	requestsPerSecond: number;
	p50Ms: number;
	p99Ms: number;
	failed: number;
};

/** Parameters of a load on one URL. */
export type LoadOptions = {
	url: string;
	connections: number;
	durationMs: number;
	path: (sequence: number) => string;
	/** Requests per second of an open loop; undefined for a closed loop. */
	rate?: number;
};

const microsecondsPerMs = 1000;

/** Runs a load and returns its results. */
export async function runLoad(options: LoadOptions): Promise<LoadResult> {
	const pool = new Pool(options.url, {connections: options.connections, pipelining: 1});
	const histogram = build({lowestDiscernibleValue: 1, highestTrackableValue: 60_000_000, numberOfSignificantValueDigits: 3});
	const requestCounts = {sent: 0, done: 0, failed: 0};
	const startedAt = performance.now();
	const send = async (intendedAt: number) => {
		requestCounts.sent += 1;
		try {
			const answer = await pool.request({path: options.path(requestCounts.sent), method: 'GET'});
			await answer.body.dump();
			requestCounts.failed += answer.statusCode === 200 ? 0 : 1;
		} catch {
			requestCounts.failed += 1;
		}

		requestCounts.done += 1;
		histogram.recordValue(Math.max(1, Math.round((performance.now() - intendedAt) * microsecondsPerMs)));
	};

	await (options.rate === undefined ? closedLoop(options, send) : openLoop(options, options.rate, send));
	const elapsedMs = performance.now() - startedAt;
	await pool.destroy();
	return {
		requestsPerSecond: Math.round(requestCounts.done / elapsedMs * 1000),
		...quantiles(histogram),
		failed: requestCounts.failed,
	};
}

async function closedLoop({connections, durationMs}: LoadOptions, send: (intendedAt: number) => Promise<void>): Promise<void> {
	const endsAt = performance.now() + durationMs;
	await Promise.all(Array.from({length: connections}, async () => {
		while (performance.now() < endsAt) {
			// eslint-disable-next-line no-await-in-loop -- a closed loop sends one request at a time on each connection.
			await send(performance.now());
		}
	}));
}

async function openLoop({durationMs}: LoadOptions, rate: number, send: (intendedAt: number) => Promise<void>): Promise<void> {
	const startedAt = performance.now();
	const total = Math.floor(rate * durationMs / 1000);
	const running: Array<Promise<void>> = [];
	while (running.length < total) {
		const due = Math.min(total, Math.floor((performance.now() - startedAt) * rate / 1000));
		while (running.length < due) {
			running.push(send(startedAt + (running.length * 1000 / rate)));
		}

		// eslint-disable-next-line no-await-in-loop -- waits until more requests are due.
		await new Promise(resolve => {
			setTimeout(resolve, 1);
		});
	}

	await Promise.all(running);
}

function quantiles(histogram: Histogram): {p50Ms: number; p99Ms: number} {
	return {
		p50Ms: histogram.getValueAtPercentile(50) / microsecondsPerMs,
		p99Ms: histogram.getValueAtPercentile(99) / microsecondsPerMs,
	};
}
