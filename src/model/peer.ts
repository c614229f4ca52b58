/**
 * Messages between daemons and the interface of the network that carries them.
 */
import type {Assignment, Stored} from './assignment.js';
import type {Configuration} from './configuration.js';
import type {Deadline} from './deadline.js';

/** Versions of the documents that a daemon knows. */
export type KnownVersions = {
	configuration: number;
	/** Assignment versions by service. */
	assignments: Record<string, number>;
};

/** Answer to a request for confirmation. */
export type PeerConfirmation = {
	daemon: string;
	/** Age of the daemon's confirmation by the store, its own or relayed, in milliseconds; undefined without a fresh one. */
	proofAgeMs?: number | undefined;
	/** False after a restart until the store has confirmed the daemon's versions, directly or through a peer. */
	canAttest: boolean;
	known: KnownVersions;
	/** True if the daemon itself reached the store in its last confirmation round. */
	reachesStore: boolean;
	/** Daemons that reach the store and answered this daemon within the last route lease. */
	heard: string[];
};

/** Documents newer than the versions in the request. */
export type DocumentUpdate = {
	configuration?: Stored<Configuration>;
	assignments: Array<Stored<Assignment>>;
};

/** Acknowledgement of a published assignment. */
export type Acknowledgement = {
	daemon: string;
	version: number;
	/** Requests for moving shards still in flight to their old servers. */
	inFlight: number;
	/** Milliseconds until the latest start-by deadline of these requests has passed. */
	startByRemainingMs: number;
};

/** Result of a daemon's probe of a server. */
export type ServerProbeResult = {
	daemon: string;
	server: string;
	reachable: boolean;
};

/** Requests that a daemon dispatched to one shard since its last report. */
export type ShardLoad = {
	shard: number;
	requests: number;
};

/** Requests for one key since the last report, as estimated by a sketch. */
export type KeyLoad = {
	key: string;
	shard: number;
	requests: number;
};

/** Load of one service at one daemon. */
export type LoadReport = {
	daemon: string;
	/** Length of the reported interval in milliseconds. */
	intervalMs: number;
	shards: ShardLoad[];
	keys: KeyLoad[];
};

/** State of a daemon for operators. */
export type DaemonStatus = {
	daemon: string;
	zone: string;
	ready: boolean;
	configurationVersion: number;
	assignments: Array<{
		service: string;
		version: number;
		term: number;
		leader: string;
		moves: number;
		leaseRemainingMs: number;
		lost: string[];
	}>;
	storeReachable: boolean;
	holding: boolean;
	/** Bytes received and sent by the control listener since the start. */
	controlBytes: number;
};

/**
 * Calls to other daemons. Every method rejects with `PeerUnavailableError` or `DeadlineExpiredError`.
 */
export type PeerNetwork = {
	confirm(daemon: string, deadline: Deadline): Promise<PeerConfirmation>;
	fetchDocuments(daemon: string, known: KnownVersions, deadline: Deadline): Promise<DocumentUpdate>;
	publish(daemon: string, assignment: Stored<Assignment>, deadline: Deadline): Promise<Acknowledgement>;
	probeServer(daemon: string, server: string, deadline: Deadline): Promise<ServerProbeResult>;
	/** Notifies a daemon that this one is shutting down. */
	announceLeaving(daemon: string, deadline: Deadline): Promise<void>;
	/** Returns the load of a service at a daemon since the last call. */
	loadReport(daemon: string, service: string, deadline: Deadline): Promise<LoadReport>;
	/** Ids of the other daemons that may be running, from the VM list and settings. */
	members(): string[];
};
