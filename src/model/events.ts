/**
 * Catalogue of log events. Numbers are stable; docs/events.md lists them and a test checks that both agree.
 */
export enum LogEvent {
	DaemonStarted = 1000,
	ShutdownStep = 1003,
	DaemonStopped = 1004,
	ConfigurationInForce = 1200,
	HoldStarted = 1202,
	HoldEnded = 1203,
	LeadershipTaken = 1300,
	LeadershipLost = 1301,
	LeaderStepFailed = 1302,
	ServerLost = 1401,
	ServerRecovered = 1402,
	EjectionRefused = 1403,
	MovesRecorded = 1500,
	MovesPaused = 1501,
	OwnersWritten = 1502,
	MovesReleased = 1503,
	VotersChanged = 1600,
	HotKeyIsolated = 1700,
	PlanCreated = 1800,
	PlanConfirmed = 1801,
	PlanRejected = 1802,
	OperatorRefused = 1803,
	DaemonStopping = 2000,
	SettingsReloaded = 2001,
	StoreLost = 2010,
	StoreRegained = 2011,
	DocumentRejected = 2012,
	LeaderChanged = 2013,
	StoreReadFailed = 2014,
	TargetChanged = 2020,
	TargetRemoved = 2021,
	TargetEjected = 2022,
	TargetSuspected = 2023,
	TargetTrusted = 2024,
	LeaseLost = 2030,
	AssignmentWritten = 2040,
	AssignmentRejected = 2041,
	OrderFailed = 2042,
	HoldsExtended = 2043,
	LeaderStoreWriteFailed = 2044,
	RangeReleased = 2045,
	RangeGranted = 2046,
	HoldRanOut = 2047,
	RequestServed = 2100,
	RequestRetried = 2101,
	RequestRefused = 2102,
	RequestUnknown = 2103,
	RequestAbandoned = 2104,
	RequestMalformed = 2105,
	RequestUnrouted = 2106,
	PeerMessageRejected = 2200,
	LinesDropped = 2300,
	InternalFailure = 2400,
}

/** Fields of a log event. */
export type LogFields = Record<string, string | number | boolean | undefined>;

/** Destination of numbered log events. */
export type EventLog = {
	record(event: LogEvent, fields: LogFields): void;
};
