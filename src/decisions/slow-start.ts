/** Share of its load at which a new server begins. */
const initialShare = 0.1;

/**
 * Raises the load of a newly added server from a tenth to its whole share.
 */
export class SlowStart {
	private readonly startedAt = new Map<string, number>();

	/** @param warmUpMs time until a server carries its whole share, in milliseconds */
	constructor(private readonly warmUpMs = 5000) {}

	/** Begins the slow start of a server. */
	begin(server: string, now = performance.now()): void {
		this.startedAt.set(server, now);
	}

	/** Share of its load that a server may carry, from 0.1 to 1. */
	share(server: string, now = performance.now()): number {
		const startedAt = this.startedAt.get(server);
		if (startedAt === undefined) {
			return 1;
		}

		const progress = (now - startedAt) / this.warmUpMs;
		if (progress >= 1) {
			this.startedAt.delete(server);
			return 1;
		}

		return initialShare + ((1 - initialShare) * Math.max(0, progress));
	}
}
