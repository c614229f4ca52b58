/**
 * HTTP headers between the router and servers, and those that never pass through.
 */

/** Headers of the target contract; see docs/targets.md. */
export enum ContractHeader {
	Service = 'eelgrasswheel-service',
	Shard = 'eelgrasswheel-shard',
	Epoch = 'eelgrasswheel-epoch',
	StartBy = 'eelgrasswheel-start-by',
	Outcome = 'eelgrasswheel-outcome',
	Reason = 'eelgrasswheel-reason',
	/** Between daemons: the request was forwarded, with the secret that daemons share. */
	Forwarded = 'eelgrasswheel-forwarded',
	InstructionId = 'idempotency-key',
}

/** Value of the outcome header for a request that did not run. */
export const notRunOutcome = 'not-run';

/** Value of the outcome header for a request whose outcome is not known. */
export const unknownOutcome = 'unknown';

/** Paths of the target contract. */
export const contractPaths = {
	health: '/.eelgrasswheel/health',
	grants: '/.eelgrasswheel/grants',
	warm: '/.eelgrasswheel/warm',
} as const;

const ownPrefix = 'eelgrasswheel-';

const hopByHop = new Set([
	'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'proxy-connection', 'te', 'trailer', 'transfer-encoding', 'upgrade', 'expect',
]);

/** Returns the headers that may pass on as names and values in turn, the form that needs no copying further on. */
export function forwardedHeaderList(headers: Record<string, string | string[] | undefined>): string[] {
	const list: string[] = [];
	for (const [name, value] of Object.entries(forwardedHeaders(headers))) {
		for (const single of typeof value === 'string' ? [value] : value) {
			list.push(name, single);
		}
	}

	return list;
}

/** Returns the headers that may pass on: no hop-by-hop headers and none of the router's own. */
export function forwardedHeaders(headers: Record<string, string | string[] | undefined>): Record<string, string | string[]> {
	const named = new Set(String(headers.connection ?? '').toLowerCase().split(',').map(name => name.trim()));
	const passed: Record<string, string | string[]> = {};
	for (const [name, value] of Object.entries(headers)) {
		const lower = name.toLowerCase();
		if (value === undefined || hopByHop.has(lower) || lower.startsWith(ownPrefix) || named.has(lower)) {
			continue;
		}

		passed[lower] = value;
	}

	return passed;
}
