/**
 * Daemons that exchange only permits and what targets say of themselves, for fleets of any size on a paused clock.
 */
import {FleetView} from '../src/decisions/fleet/fleet-view.js';
import {PermitIssuers} from '../src/decisions/limits/permit-issuers.js';
import {Permits} from '../src/decisions/limits/permits.js';
import {TargetStatements} from '../src/decisions/limits/target-statements.js';
import {Cancellation} from '../src/model/cancellation.js';
import type {Member} from '../src/model/fleet.js';
import {LimitedTarget} from './limited-target.js';
import {target} from './relayed-fleet.js';

/** Interval between ticks of a daemon, in milliseconds. */
const tickMs = 20;

/** Interval at which daemons tell each other what targets said, in milliseconds. */
const reportMs = 500;

/** Time that a message takes, in milliseconds. */
const messageMs = 1;

/** Time that a request takes at the target, in milliseconds. */
const workMs = 50;

/** Time that a request waits for a permit, in milliseconds. */
const waitMs = 200;

const silentLog = {record: () => undefined};

export class PermitFleet {
	readonly daemons: PermitDaemon[] = [];
	readonly limited: LimitedTarget;
	private lossRule: (() => boolean) | undefined;
	private readonly timers: NodeJS.Timeout[];

	constructor(count: number, limitPerS?: number) {
		this.limited = new LimitedTarget(workMs, limitPerS);
		for (let index = 0; index < count; index += 1) {
			this.daemons.push(new PermitDaemon(`daemon-${index}`, this));
		}

		for (const daemon of this.daemons) {
			daemon.setMembers(this.daemons);
		}

		this.timers = [
			setInterval(() => {
				for (const {permits} of this.daemons) {
					permits.tick();
				}
			}, tickMs),
			setInterval(() => {
				this.report();
			}, reportMs),
		];
	}

	/** Sets what decides whether a message is lost. */
	setLossRule(lossRule: () => boolean): void {
		this.lossRule = lossRule;
	}

	/** Starts a daemon, of which each of the others learns after the time that `noticeMs` returns. */
	join(name: string, noticeMs: () => number): void {
		const joined = new PermitDaemon(name, this);
		this.daemons.push(joined);
		for (const daemon of this.daemons) {
			setTimeout(() => {
				daemon.addMember(joined);
			}, noticeMs());
		}

		joined.setMembers(this.daemons);
	}

	/** Stops a daemon without notice; the others learn of it after the time that `noticeMs` returns. */
	stop(daemon: PermitDaemon, noticeMs: () => number): void {
		this.daemons.splice(this.daemons.indexOf(daemon), 1);
		for (const other of this.daemons) {
			setTimeout(() => {
				other.removeMember(daemon);
			}, noticeMs());
		}
	}

	deliver(name: string, handle: (daemon: PermitDaemon) => void): void {
		if (this.lossRule?.() === true) {
			return;
		}

		setTimeout(() => {
			const receiver = this.daemons.find(daemon => daemon.name === name);
			if (receiver) {
				handle(receiver);
			}
		}, messageMs);
	}

	close(): void {
		for (const timer of this.timers) {
			clearInterval(timer);
		}
	}

	/** Each daemon reports to one, which tells all of them, as the hub of an availability zone does. */
	private report(): void {
		const [hub] = this.daemons;
		for (const {statements} of this.daemons) {
			const reported = statements.report();
			if (hub && reported) {
				this.deliver(hub.name, peer => {
					peer.statements.receive(reported);
				});
			}
		}

		const reported = hub?.statements.report();
		for (const {name} of reported ? this.daemons : []) {
			this.deliver(name, peer => {
				peer.statements.receive(reported ?? {});
			});
		}
	}
}

export class PermitDaemon {
	readonly permits: Permits;
	readonly statements = new TargetStatements(silentLog, {onNews: () => undefined, onLeaving: () => undefined});
	admittedCount = 0;
	private readonly view = new FleetView();

	constructor(readonly name: string, private readonly fleet: PermitFleet) {
		this.permits = new Permits({
			daemon: name,
			statements: this.statements,
			issuers: new PermitIssuers(name, this.view),
			sender: {
				request(message, issuer) {
					fleet.deliver(issuer.daemon, peer => {
						peer.permits.receiveRequest(name, message);
					});
				},
				answer(message, daemon) {
					fleet.deliver(daemon, peer => {
						peer.permits.receiveAnswer(name, message);
					});
				},
			},
			log: silentLog,
		});
	}

	/** Sends a request if it is admitted. */
	async request(priority = 1): Promise<boolean> {
		const sentTo = target('a');
		const {isAdmitted} = await this.permits.acquire(sentTo, priority, waitMs, new Cancellation());
		if (isAdmitted) {
			this.admittedCount += 1;
			const sentAt = performance.now();
			await this.fleet.limited.answer(this.name, {
				target: sentTo, budgetMs: 1000, timeoutMs: 1000, cancellation: new Cancellation(), connectionLimit: 4,
				onStatement: statement => {
					this.statements.record(sentTo, statement, sentAt);
				},
			});
		}

		return isAdmitted;
	}

	setMembers(daemons: readonly PermitDaemon[]): void {
		for (const daemon of daemons) {
			this.addMember(daemon);
		}
	}

	addMember({name}: PermitDaemon): void {
		this.view.members.set(name, memberOf(name));
	}

	removeMember({name}: PermitDaemon): void {
		this.view.members.delete(name);
	}
}

function memberOf(daemon: string): Member {
	return {
		daemon, availabilityZone: 'zone', ip: '127.0.0.1', port: 1, room: 1,
	};
}
