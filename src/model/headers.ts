/**
 * HTTP headers between the router and servers, and the choice of headers that are forwarded.
 */

/** Headers of the target contract; see docs/targets.md. */
export enum ContractHeader {
	Service = 'eelgrasswheel-service',
	Shard = 'eelgrasswheel-shard',
	Epoch = 'eelgrasswheel-epoch',
	StartBy = 'eelgrasswheel-start-by',
	Outcome = 'eelgrasswheel-outcome',
	Reason = 'eelgrasswheel-reason',
	/** Marks a request that another daemon forwarded; the value is the secret that daemons share. */
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

/** Returns the headers that are forwarded as alternating names and values, so that later steps need not copy them. */
export function forwardedHeaderList(headers: Record<string, string | string[] | undefined>): string[] {
	const list: string[] = [];
	for (const [name, value] of Object.entries(forwardedHeaders(headers))) {
		for (const single of typeof value === 'string' ? [value] : value) {
			list.push(name, single);
		}
	}

	return list;
}

/** Returns the headers that are forwarded: all but hop-by-hop headers and the router's own. */
export function forwardedHeaders(headers: Record<string, string | string[] | undefined>): Record<string, string | string[]> {
	const connectionHeaders = new Set(String(headers.connection ?? '').toLowerCase().split(',').map(name => name.trim()));
	const forwarded: Record<string, string | string[]> = {};
	for (const [name, value] of Object.entries(headers)) {
		const lower = name.toLowerCase();
		if (value === undefined || hopByHop.has(lower) || lower.startsWith(ownPrefix) || connectionHeaders.has(lower)) {
			continue;
		}

		forwarded[lower] = value;
	}

	return forwarded;
}
