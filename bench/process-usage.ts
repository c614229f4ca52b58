/**
 * Reads CPU time and memory of a process from /proc.
 */
import {readFile} from 'node:fs/promises';

/** Clock ticks per second in which the kernel counts CPU time. */
const ticksPerSecond = 100;

const pageBytes = 4096;

/** Usage of one process. */
export type ProcessUsage = {
	/** CPU time since the process started, in milliseconds. */
	cpuMs: number;
	/** Resident memory in megabytes. */
	residentMb: number;
};

/** Reads the usage of a running process. */
export async function readUsage(pid: number): Promise<ProcessUsage> {
	const stat = await readFile(`/proc/${pid}/stat`, 'utf8');
	const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
	const ticks = Number(fields[11]) + Number(fields[12]);
	return {cpuMs: ticks * 1000 / ticksPerSecond, residentMb: Number(fields[21]) * pageBytes / 1_048_576};
}
