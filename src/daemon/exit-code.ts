/** Exit codes of the programs. */
export enum ExitCode {
	Stopped = 0,
	Failed = 1,
	InvalidSettings = 2,
}
