/** Share of its limit that a cold server begins with. */
const initialShare = 0.1;

/**
 * Raises the load of a server that has just come up from a tenth to the whole.
 */
export class SlowStart {
	private readonly startedAt = new Map<string, number>();

	/** @param warmUpMs time until a server carries its whole share, in milliseconds */
	constructor(private readonly warmUpMs = 5000) {}

	/** Notes that a server has come up. */
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
