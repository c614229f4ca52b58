/**
 * Confirmation of the known documents: by the store, through a peer, or by a majority of voters while the store is unreachable.
 */
import type {Assignment} from '../model/assignment.js';
import type {Configuration} from '../model/configuration.js';
import {Deadline} from '../model/deadline.js';
import {LogEvent, type EventLog} from '../model/events.js';
import {storeKeys, type KeyValueStore, type StoreVersion} from '../model/key-value-store.js';
import type {PeerConfirmation, PeerNetwork} from '../model/peer.js';
import type {Timing} from '../model/timing.js';
import {mayServeWithoutStore} from './store-outage-rule.js';
import type {Replica} from './replica.js';

/** Dependencies of a confirmation. */
export type ConfirmationParts = {
	daemon: string;
	store: KeyValueStore;
	peers: PeerNetwork;
	replica: Replica;
	timing: Timing;
	log: EventLog;
};

/**
 * Confirms the replica's versions once per period and records when the store last confirmed them.
 */
export class Confirmation {
	storeReachable = false;
	isServingWithoutStore = false;
	private readonly startedAt = performance.now();
	private confirmedAt = -Infinity;
	/** True if this daemon counts towards the majority that may serve without the store. */
	private canAttest = false;
	private confirmInParallel = false;
	private readonly respondedAt = new Map<string, number>();

	constructor(private readonly parts: ConfirmationParts) {}

	/** Returns the answer to a peer's confirmation request. */
	answer(now = performance.now()): PeerConfirmation {
		return {
			daemon: this.parts.daemon,
			proofAgeMs: this.hasFreshConfirmation(now) ? this.confirmationAgeMs(now) : undefined,
			canAttest: this.canAttest,
			known: this.parts.replica.knownVersions(),
			reachesStore: this.storeReachable,
			heard: this.respondingDaemons(now),
		};
	}

	/** Daemons that reach the store and answered this daemon within the last route lease. */
	respondingDaemons(now = performance.now()): string[] {
		return [...this.respondedAt].filter(([, at]) => now - at < this.parts.timing.routeLeaseMs).map(([daemon]) => daemon);
	}

	/** Records that a daemon answered and reaches the store. */
	recordResponse(daemon: string): void {
		this.respondedAt.set(daemon, performance.now());
	}

	/** Milliseconds since the store confirmed the known documents as the newest; infinite before the first confirmation. */
	confirmationAgeMs(now = performance.now()): number {
		return now - this.confirmedAt;
	}

	/** True if the daemon has a fresh confirmation by the store, its own or relayed. */
	hasFreshConfirmation(now = performance.now()): boolean {
		// Half of the lease, so that serving without the store can begin before the lease expires.
		return this.confirmationAgeMs(now) < this.parts.timing.routeLeaseMs / 2;
	}

	/** Runs one round; never rejects. */
	async refresh(): Promise<void> {
		if (this.confirmInParallel) {
			// After a failed read, peers are queried in parallel with the store, whose timeout would otherwise use up the lease.
			await Promise.all([this.confirmByStore(), this.confirmByPeers()]);
			return;
		}

		if (await this.confirmByStore()) {
			return;
		}

		await this.confirmByPeers();
	}

	private async confirmByStore(): Promise<boolean> {
		const {store, timing} = this.parts;
		const sentAt = performance.now();
		try {
			const versions = await store.readVersions(storeKeys.documents, Deadline.after(timing.storeCallMs, 'reading versions'));
			await this.readNewer(versions);
			for (const {key, modRevision} of versions) {
				this.confirmKey(key, modRevision, sentAt);
			}

			this.recordConfirmation(sentAt);
			this.storeReachable = true;
			this.confirmInParallel = false;
			this.setServingWithoutStore(false);
			return true;
		} catch {
			this.storeReachable = false;
			this.confirmInParallel = true;
			return false;
		}
	}

	private async readNewer(versions: StoreVersion[]): Promise<void> {
		const {replica} = this.parts;
		const newer = versions.filter(({key, modRevision}) => modRevision > replica.revisionOf(key));
		await Promise.all(newer.map(async ({key}) => this.readDocument(key)));
	}

	private async readDocument(key: string): Promise<void> {
		const {store, replica, timing} = this.parts;
		const entry = await store.read(key, Deadline.after(timing.storeCallMs, `reading ${key}`));
		if (!entry) {
			return;
		}

		if (key === storeKeys.configuration) {
			replica.acceptConfiguration({value: JSON.parse(entry.value) as Configuration, modRevision: entry.modRevision});
			return;
		}

		replica.acceptAssignment({value: JSON.parse(entry.value) as Assignment, modRevision: entry.modRevision});
	}

	private confirmKey(key: string, modRevision: number, sentAt: number): void {
		const {replica} = this.parts;
		for (const stored of replica.allAssignments()) {
			const isSame = storeKeys.assignment(stored.value.service) === key && stored.modRevision >= modRevision;
			if (isSame) {
				replica.confirm(stored.value.service, stored.value.version, sentAt);
			}
		}
	}

	private async confirmByPeers(): Promise<void> {
		const sentAt = performance.now();
		const confirmations = await this.requestConfirmations();
		const confirmed = confirmations.filter(confirmation => confirmation.proofAgeMs !== undefined);
		const freshest = confirmed.toSorted((a, b) => (a.proofAgeMs ?? 0) - (b.proofAgeMs ?? 0))[0];
		await this.fetchNewer(freshest ? [freshest] : confirmations);
		if (freshest) {
			this.acceptRelayed(freshest, sentAt);
			return;
		}

		this.confirmWithoutStore(confirmations, sentAt);
	}

	private async requestConfirmations(): Promise<PeerConfirmation[]> {
		const {peers, timing} = this.parts;
		const requests = peers.members().map(async daemon => {
			const confirmation = await peers.confirm(daemon, Deadline.after(timing.peerCallMs, `confirmation by ${daemon}`));
			if (confirmation.reachesStore) {
				this.recordResponse(daemon);
			}

			return confirmation;
		});
		const settled = await Promise.allSettled(requests);
		return settled.filter(result => result.status === 'fulfilled').map(result => result.value);
	}

	private async fetchNewer(confirmations: PeerConfirmation[]): Promise<void> {
		const {peers, replica, timing} = this.parts;
		for (const confirmation of confirmations) {
			if (!isNewer(confirmation, replica)) {
				continue;
			}

			try {
				// eslint-disable-next-line no-await-in-loop -- each answer may make the next fetch unnecessary.
				const update = await peers.fetchDocuments(
					confirmation.daemon,
					replica.knownVersions(),
					Deadline.after(timing.peerCallMs, `documents of ${confirmation.daemon}`),
				);
				replica.acceptUpdate(update);
			} catch {
				// The next round requests the documents again.
			}
		}
	}

	private acceptRelayed(confirmation: PeerConfirmation, sentAt: number): void {
		// Dated back by the age of the peer's confirmation, so that a whole chain of relays stays within one route lease.
		const confirmedAt = sentAt - (confirmation.proofAgeMs ?? Infinity);
		for (const [service, version] of Object.entries(confirmation.known.assignments)) {
			this.parts.replica.confirm(service, version, confirmedAt);
		}

		// The relayed confirmation covers only the peer's versions, so it does not apply while this daemon has older ones.
		if (!isNewer(confirmation, this.parts.replica)) {
			this.recordConfirmation(confirmedAt);
		}

		this.setServingWithoutStore(false);
	}

	private confirmWithoutStore(confirmations: PeerConfirmation[], sentAt: number): void {
		const {daemon, replica} = this.parts;
		if (this.hasFreshConfirmation()) {
			return;
		}

		let isServing = false;
		for (const {value} of replica.allAssignments()) {
			const {service, version, voters} = value;
			if (!mayServeWithoutStore({
				daemon, canAttest: this.canAttest, service, version, voters, confirmations,
			})) {
				continue;
			}

			replica.confirm(service, version, sentAt);
			isServing = true;
		}

		this.setServingWithoutStore(isServing);
	}

	private recordConfirmation(at: number): void {
		this.confirmedAt = Math.max(this.confirmedAt, at);
		// After a restart, a daemon no longer knows which versions it acknowledged. A confirmation from before the start may
		// cover only older ones.
		this.canAttest ||= at >= this.startedAt;
	}

	private setServingWithoutStore(isServing: boolean): void {
		if (this.isServingWithoutStore === isServing) {
			return;
		}

		this.isServingWithoutStore = isServing;
		this.parts.log.record(isServing ? LogEvent.HoldStarted : LogEvent.HoldEnded, {});
	}
}

function isNewer(confirmation: PeerConfirmation, replica: Replica): boolean {
	const known = replica.knownVersions();
	const isNewerConfiguration = confirmation.known.configuration > known.configuration;
	return isNewerConfiguration || Object.entries(confirmation.known.assignments).some(([service, version]) => version > (known.assignments[service] ?? 0));
}
