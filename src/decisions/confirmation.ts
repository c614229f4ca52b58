/**
 * Confirmation of the known documents: from the store, through a peer, or by the hold rule.
 */
import type {Assignment} from '../model/assignment.js';
import type {Configuration} from '../model/configuration.js';
import {Deadline} from '../model/deadline.js';
import {LogEvent, type EventLog} from '../model/events.js';
import {storeKeys, type KeyValueStore, type StoreVersion} from '../model/key-value-store.js';
import type {PeerConfirmation, PeerNetwork} from '../model/peer.js';
import type {Timing} from '../model/timing.js';
import {mayHold} from './hold-rule.js';
import type {Replica} from './replica.js';

/** What a confirmation needs. */
export type ConfirmationParts = {
	daemon: string;
	store: KeyValueStore;
	peers: PeerNetwork;
	replica: Replica;
	timing: Timing;
	log: EventLog;
};

/**
 * Confirms the replica's versions once a period and keeps the age of the daemon's proof.
 */
export class Confirmation {
	storeReachable = false;
	holding = false;
	private readonly startedAt = performance.now();
	private proofAt = -Infinity;
	private canAttest = false;
	private askPeersEarly = false;
	private readonly heardAt = new Map<string, number>();

	constructor(private readonly parts: ConfirmationParts) {}

	/** Answers a peer that asks for a confirmation. */
	answer(now = performance.now()): PeerConfirmation {
		return {
			daemon: this.parts.daemon,
			proofAgeMs: this.hasProof(now) ? this.proofAgeMs(now) : undefined,
			canAttest: this.canAttest,
			known: this.parts.replica.known(),
			reachesStore: this.storeReachable,
			heard: this.heardDaemons(now),
		};
	}

	/** Daemons that reach the store and answered within the last route lease. */
	heardDaemons(now = performance.now()): string[] {
		return [...this.heardAt].filter(([, at]) => now - at < this.parts.timing.routeLeaseMs).map(([daemon]) => daemon);
	}

	/** Notes that a daemon answered and reaches the store. */
	noteHeard(daemon: string): void {
		this.heardAt.set(daemon, performance.now());
	}

	/** Milliseconds since the known documents were proved to be the newest; infinite before the first proof. */
	proofAgeMs(now = performance.now()): number {
		return now - this.proofAt;
	}

	/** True if the daemon holds a fresh proof from the store, its own or relayed. */
	hasProof(now = performance.now()): boolean {
		// Half of the lease, so that holding can begin before the lease lapses.
		return this.proofAgeMs(now) < this.parts.timing.routeLeaseMs / 2;
	}

	/** Runs one round; never rejects. */
	async refresh(): Promise<void> {
		if (this.askPeersEarly) {
			// The last read failed: peers are asked beside the store, so that its time limit does not use up the lease.
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
		const askedAt = performance.now();
		try {
			const versions = await store.readVersions(storeKeys.documents, Deadline.after(timing.storeCallMs, 'reading versions'));
			await this.readNewer(versions);
			for (const {key, modRevision} of versions) {
				this.confirmKey(key, modRevision, askedAt);
			}

			this.noteProof(askedAt);
			this.storeReachable = true;
			this.askPeersEarly = false;
			this.setHolding(false);
			return true;
		} catch {
			this.storeReachable = false;
			this.askPeersEarly = true;
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

	private confirmKey(key: string, modRevision: number, askedAt: number): void {
		const {replica} = this.parts;
		for (const stored of replica.allAssignments()) {
			const isSame = storeKeys.assignment(stored.value.service) === key && stored.modRevision >= modRevision;
			if (isSame) {
				replica.confirm(stored.value.service, stored.value.version, askedAt);
			}
		}
	}

	private async confirmByPeers(): Promise<void> {
		const askedAt = performance.now();
		const confirmations = await this.askPeers();
		const proofs = confirmations.filter(confirmation => confirmation.proofAgeMs !== undefined);
		const freshest = proofs.toSorted((a, b) => (a.proofAgeMs ?? 0) - (b.proofAgeMs ?? 0))[0];
		await this.fetchNewer(freshest ? [freshest] : confirmations);
		if (freshest) {
			this.acceptRelayed(freshest, askedAt);
			return;
		}

		this.hold(confirmations, askedAt);
	}

	private async askPeers(): Promise<PeerConfirmation[]> {
		const {peers, timing} = this.parts;
		const asked = peers.members().map(async daemon => {
			const confirmation = await peers.confirm(daemon, Deadline.after(timing.peerCallMs, `confirmation by ${daemon}`));
			if (confirmation.reachesStore) {
				this.noteHeard(daemon);
			}

			return confirmation;
		});
		const settled = await Promise.allSettled(asked);
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
					replica.known(),
					Deadline.after(timing.peerCallMs, `documents of ${confirmation.daemon}`),
				);
				replica.acceptUpdate(update);
			} catch {
				// The next round asks again.
			}
		}
	}

	private acceptRelayed(confirmation: PeerConfirmation, askedAt: number): void {
		// The relay's proof is older than its answer; the whole chain stays within one route lease.
		const provenAt = askedAt - (confirmation.proofAgeMs ?? Infinity);
		for (const [service, version] of Object.entries(confirmation.known.assignments)) {
			this.parts.replica.confirm(service, version, provenAt);
		}

		// A proof tells only about documents at least as new as the relay's.
		if (!isNewer(confirmation, this.parts.replica)) {
			this.noteProof(provenAt);
		}

		this.setHolding(false);
	}

	private hold(confirmations: PeerConfirmation[], askedAt: number): void {
		const {daemon, replica} = this.parts;
		if (this.hasProof()) {
			return;
		}

		let isHolding = false;
		for (const {value} of replica.allAssignments()) {
			const {service, version, voters} = value;
			if (!mayHold({
				daemon, canAttest: this.canAttest, service, version, voters, confirmations,
			})) {
				continue;
			}

			replica.confirm(service, version, askedAt);
			isHolding = true;
		}

		this.setHolding(isHolding);
	}

	private noteProof(at: number): void {
		this.proofAt = Math.max(this.proofAt, at);
		// A restarted daemon has forgotten what it acknowledged; a proof from before its start may be older than that.
		this.canAttest ||= at >= this.startedAt;
	}

	private setHolding(holding: boolean): void {
		if (this.holding === holding) {
			return;
		}

		this.holding = holding;
		this.parts.log.record(holding ? LogEvent.HoldStarted : LogEvent.HoldEnded, {});
	}
}

function isNewer(confirmation: PeerConfirmation, replica: Replica): boolean {
	const known = replica.known();
	const isNewerConfiguration = confirmation.known.configuration > known.configuration;
	return isNewerConfiguration || Object.entries(confirmation.known.assignments).some(([service, version]) => version > (known.assignments[service] ?? 0));
}
