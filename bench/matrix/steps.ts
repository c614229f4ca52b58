/**
 * Steps of intents, moves, requests, leadership and shutdown at which a fault can begin.
 */

export enum Step {
	Submitted = 'submitted',
	Planned = 'planned',
	Confirmed = 'confirmed',
	Committed = 'committed',
	Distributed = 'distributed',
	MoveRecorded = 'move recorded',
	MovePaused = 'move paused',
	Revoked = 'revoked',
	Drained = 'drained',
	OwnerWritten = 'owner written',
	Granted = 'granted',
	Released = 'released',
	RequestAccepted = 'request accepted',
	RequestQueued = 'request queued',
	RequestClaimed = 'request claimed',
	RequestSent = 'request sent',
	RequestExecuting = 'request executing',
	LeaderRenewing = 'leader renewing',
	LeaderSteppingDown = 'leader stepping down',
	LeaderAcquiring = 'leader acquiring',
	ShutdownReadiness = 'shutdown: readiness',
	ShutdownLeadership = 'shutdown: leadership',
	ShutdownListener = 'shutdown: listener',
	ShutdownInFlight = 'shutdown: in flight',
}

export const allSteps: readonly Step[] = Object.values(Step);
