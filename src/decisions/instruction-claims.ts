/**
 * Claims of non-idempotent instructions in the store, so that a retry through another daemon does not run them twice.
 */
import {randomUUID} from 'node:crypto';
import {Deadline} from '../model/deadline.js';
import {
	ConflictError, DuplicateInstructionError, NotRunError, NotRunReason, StoreAmbiguousError,
} from '../model/errors.js';
import {storeKeys, type KeyValueStore} from '../model/key-value-store.js';
import {DocumentWriter} from './document-writer.js';

/** Time for which claims are kept, in seconds. */
export const claimTtlSeconds = 86_400;

/** Interval after which a new store lease is used for claims, in milliseconds. */
const leaseRotationMs = 3_600_000;

/** Largest number of claims queued for another attempt at their release. */
const maxPendingReleases = 10_000;

/** A claim that this daemon holds. */
export type Claim = {
	key: string;
	token: string;
	modRevision: number;
};

type ClaimRecord = {
	token: string;
	daemon: string;
	status?: number;
};

/**
 * Claims instructions. A claim is written before the instruction may reach a server, and released only if the
 * instruction certainly did not run.
 */
export class InstructionClaims {
	private readonly writer: DocumentWriter;
	private leaseId: string | undefined;
	private leasedAt = -Infinity;
	private readonly pendingReleases: Array<{key: string; token: string}> = [];

	constructor(private readonly daemon: string, private readonly store: KeyValueStore, private readonly storeCallMs: number) {
		this.writer = new DocumentWriter(store, storeCallMs);
	}

	/**
	 * Claims an instruction.
	 *
	 * @throws {DuplicateInstructionError} if it was claimed before
	 * @throws {NotRunError} if the store did not confirm the claim; the instruction did not run
	 */
	async claim(service: string, instructionId: string): Promise<Claim> {
		const key = storeKeys.claim(service, instructionId);
		const token = randomUUID();
		const record: ClaimRecord = {token, daemon: this.daemon};
		try {
			const leaseId = await this.currentLease();
			const transaction = {compare: [{key, modRevision: 0}], puts: [{key, value: JSON.stringify(record), leaseId}]};
			const modRevision = await this.writer.write({transaction, key, token});
			return {key, token, modRevision};
		} catch (error) {
			if (error instanceof ConflictError) {
				throw new DuplicateInstructionError(instructionId, await this.firstStatus(key));
			}

			if (error instanceof StoreAmbiguousError) {
				// The claim may have been written although the instruction did not run; it is released once the store answers.
				this.deferRelease({key, token});
			}

			throw new NotRunError(NotRunReason.ClaimUnavailable);
		}
	}

	/** Releases the claim of an instruction that certainly did not run. */
	async release(claim: Claim): Promise<void> {
		try {
			await this.store.transact(
				{compare: [{key: claim.key, modRevision: claim.modRevision}], puts: [], deletes: [claim.key]},
				Deadline.after(this.storeCallMs, `releasing ${claim.key}`),
			);
		} catch {
			this.deferRelease(claim);
		}
	}

	/** Records the status of the answer, which a retry then gets; without it, the claim alone still prevents a second run. */
	async complete(claim: Claim, status: number): Promise<void> {
		const record: ClaimRecord = {token: claim.token, daemon: this.daemon, status};
		try {
			await this.store.transact(
				{
					compare: [{key: claim.key, modRevision: claim.modRevision}],
					puts: [{key: claim.key, value: JSON.stringify(record), leaseId: await this.currentLease()}],
				},
				Deadline.after(this.storeCallMs, `completing ${claim.key}`),
			);
		} catch {
			// A retry gets the answer that the outcome is not known.
		}
	}

	/** Repeats the oldest failed release; called periodically. */
	async retryReleases(): Promise<void> {
		const pending = this.pendingReleases.shift();
		if (!pending) {
			return;
		}

		try {
			const entry = await this.store.read(pending.key, Deadline.after(this.storeCallMs, `reading ${pending.key}`));
			const record = entry ? JSON.parse(entry.value) as ClaimRecord : undefined;
			if (entry && record?.token === pending.token) {
				await this.release({...pending, modRevision: entry.modRevision});
			}
		} catch {
			this.deferRelease(pending);
		}
	}

	private async firstStatus(key: string): Promise<number | undefined> {
		try {
			const entry = await this.store.read(key, Deadline.after(this.storeCallMs, `reading ${key}`));
			return entry ? (JSON.parse(entry.value) as ClaimRecord).status : undefined;
		} catch {
			return undefined;
		}
	}

	private async currentLease(): Promise<string> {
		const now = performance.now();
		if (this.leaseId === undefined || now - this.leasedAt > leaseRotationMs) {
			// The lease outlives its last claim by the whole retention time.
			const ttlSeconds = claimTtlSeconds + (leaseRotationMs / 1000);
			this.leaseId = await this.store.grantLease(ttlSeconds, Deadline.after(this.storeCallMs, 'lease for claims'));
			this.leasedAt = now;
		}

		return this.leaseId;
	}

	private deferRelease(claim: {key: string; token: string}): void {
		if (this.pendingReleases.length < maxPendingReleases) {
			this.pendingReleases.push({key: claim.key, token: claim.token});
		}
	}
}
