/**
 * Faults of the matrix, with the actions that begin and end each of them.
 */
import type {FakeDeployment} from '../../standins/fake-deployment.js';
import {ProcessState} from '../../standins/fake-network.js';
import {storeProcess} from '../../standins/fake-store.js';

export enum Fault {
	LeaderLost = 'leader lost',
	DaemonLost = 'daemon lost',
	LeaderPaused = 'leader paused past its lease',
	DaemonPaused = 'daemon paused past its lease',
	CutLeaderStore = 'cut: leader and store',
	CutDaemonStoreOneWay = 'cut one way: store to daemon',
	CutDaemons = 'cut: leader and daemon',
	CutDaemonServer = 'cut: daemon and server',
	CutServerReplies = 'cut one way: server to daemons',
	CutZone = 'cut: availability zone',
	StoreDown = 'store down',
	StoreSlow = 'store slow',
	ReplyLost = 'reply lost after the write',
	ServerLost = 'server lost',
	ServerSilent = 'server lost with its VM',
	ServerPaused = 'server frozen and returned',
	LeaderAndServer = 'leader and server lost together',
	VmListLagging = 'daemon lost, VM list lagging',
	HealthMisleading = 'health report misleading',
	MessagesDelayed = 'messages delayed and reordered',
	MessagesDuplicated = 'messages doubled',
	CompetingIntent = 'competing intent',
}

export const allFaults: readonly Fault[] = Object.values(Fault);

/** Processes that a fault affects. */
export type Victims = {
	leader: string;
	/** A daemon that is not the leader. */
	daemon: string;
	server: string;
};

/** Input of a fault action. */
export type FaultContext = {
	deployment: FakeDeployment;
	victims: Victims;
	/** Marks a server that may finish its executions late, so that they may overlap with those of the next owner. */
	markServerDisrupted: (server: string) => void;
	/** Marks a daemon as stopped, together with its requests that are not answered yet. */
	markDaemonStopped: (daemon: string) => void;
	/** Submits and confirms a conflicting intent. */
	submitCompetingIntent: () => void;
};

/** Begins a fault and returns the function that ends it. */
export type FaultAction = (context: FaultContext) => () => void;

const noop = () => undefined;

function stopDaemon({deployment, markDaemonStopped}: FaultContext, daemon: string, state: ProcessState): () => void {
	markDaemonStopped(daemon);
	deployment.stopDaemon(daemon, state);
	return () => {
		deployment.startDaemon(daemon);
	};
}

function pauseProcess({deployment}: FaultContext, process: string): () => void {
	deployment.network.setState(process, ProcessState.Paused);
	return () => {
		deployment.network.setState(process, ProcessState.Running);
	};
}

function cutBothWays({deployment}: FaultContext, pairs: Array<[string, string]>): () => void {
	for (const [a, b] of pairs) {
		deployment.network.cut(a, b);
		deployment.network.cut(b, a);
	}

	return () => {
		deployment.network.heal();
	};
}

function stopServer(context: FaultContext, state: ProcessState): () => void {
	const {deployment, victims, markServerDisrupted} = context;
	markServerDisrupted(victims.server);
	deployment.network.setState(victims.server, state);
	return () => {
		deployment.models.get(victims.server)!.restart();
		deployment.network.setState(victims.server, ProcessState.Running);
	};
}

/** All fault actions. */
export const faultActions: Record<Fault, FaultAction> = {
	[Fault.LeaderLost]: context => stopDaemon(context, context.victims.leader, ProcessState.Dead),
	[Fault.DaemonLost]: context => stopDaemon(context, context.victims.daemon, ProcessState.Silent),
	[Fault.LeaderPaused]: context => pauseProcess(context, context.victims.leader),
	[Fault.DaemonPaused]: context => pauseProcess(context, context.victims.daemon),
	[Fault.CutLeaderStore]: context => cutBothWays(context, [[context.victims.leader, storeProcess]]),
	[Fault.CutDaemonStoreOneWay](context) {
		context.deployment.network.cut(storeProcess, context.victims.daemon);
		return () => {
			context.deployment.network.heal();
		};
	},
	[Fault.CutDaemons]: context => cutBothWays(context, [[context.victims.leader, context.victims.daemon]]),
	[Fault.CutDaemonServer](context) {
		context.markServerDisrupted(context.victims.server);
		return cutBothWays(context, [[context.victims.daemon, context.victims.server]]);
	},
	[Fault.CutServerReplies](context) {
		const {deployment, victims, markServerDisrupted} = context;
		markServerDisrupted(victims.server);
		for (const daemon of deployment.daemons) {
			deployment.network.cut(victims.server, daemon);
		}

		return () => {
			deployment.network.heal();
		};
	},
	[Fault.CutZone](context) {
		const {deployment, victims, markServerDisrupted} = context;
		markServerDisrupted(victims.server);
		const inside = [victims.daemon, victims.server];
		const outside = [...deployment.daemons, ...deployment.models.keys(), storeProcess].filter(process => !inside.includes(process));
		return cutBothWays(context, inside.flatMap(process => outside.map(other => [process, other] as [string, string])));
	},
	[Fault.StoreDown]({deployment}) {
		deployment.storeFaults.isDown = true;
		return () => {
			deployment.storeFaults.isDown = false;
		};
	},
	[Fault.StoreSlow]({deployment}) {
		deployment.storeFaults.delayMs = 80;
		return () => {
			deployment.storeFaults.delayMs = 0;
		};
	},
	[Fault.ReplyLost]({deployment}) {
		deployment.storeFaults.repliesToLose = 3;
		return noop;
	},
	[Fault.ServerLost]: context => stopServer(context, ProcessState.Dead),
	[Fault.ServerSilent]: context => stopServer(context, ProcessState.Silent),
	[Fault.ServerPaused](context) {
		context.markServerDisrupted(context.victims.server);
		return pauseProcess(context, context.victims.server);
	},
	[Fault.LeaderAndServer](context) {
		const endServer = stopServer(context, ProcessState.Silent);
		const endLeader = stopDaemon(context, context.victims.leader, ProcessState.Silent);
		return () => {
			endServer();
			endLeader();
		};
	},
	[Fault.VmListLagging](context) {
		const {deployment, victims} = context;
		const end = stopDaemon(context, victims.daemon, ProcessState.Silent);
		const {vms} = deployment;
		setTimeout(() => {
			deployment.vms = vms.filter(vm => vm.id !== victims.daemon);
		}, 800);
		return () => {
			deployment.vms = vms;
			end();
		};
	},
	[Fault.HealthMisleading]({deployment, victims}) {
		// The server refuses all requests as if it were leaving, although it is healthy and the configuration keeps it.
		const model = deployment.models.get(victims.server)!;
		model.isLeaving = true;
		setTimeout(() => {
			model.isLeaving = false;
		}, 300);
		return noop;
	},
	[Fault.MessagesDelayed]({deployment}) {
		deployment.network.jitterMs = 30;
		return () => {
			deployment.network.jitterMs = 0;
		};
	},
	[Fault.MessagesDuplicated]({deployment}) {
		deployment.network.duplicatesCalls = true;
		return () => {
			deployment.network.duplicatesCalls = false;
		};
	},
	[Fault.CompetingIntent](context) {
		context.submitCompetingIntent();
		return noop;
	},
};
