/**
 * Cells of the fault matrix: those that run, those that do not apply and those that are known to fail.
 */
import {allFaults, Fault} from './faults.js';
import type {Cell} from './scenario.js';
import {allSteps, Step} from './steps.js';

/** A cell that does not apply, with the reason. */
export type SkippedCell = Cell & {reason: string};

const operatorSteps = new Set([Step.Submitted, Step.Planned]);

const orderSteps = new Set([Step.Revoked, Step.Drained, Step.Granted]);

/** Cells that are known to fail, as listed in KNOWN-RED.txt. */
export const knownRed: Cell[] = [Step.Distributed, Step.MovePaused, Step.Revoked, Step.Drained, Step.OwnerWritten, Step.Granted]
	.map(step => ({fault: Fault.StoreDown, step}));

/** Returns true if a cell is known to fail. */
export function isKnownRed({fault, step}: Cell): boolean {
	return knownRed.some(cell => cell.fault === fault && cell.step === step);
}

/** Returns the reason why a cell does not apply, or undefined if it does. */
function reasonToSkip({fault, step}: Cell, hasFencing: boolean): string | undefined {
	if (fault === Fault.CompetingIntent && operatorSteps.has(step)) {
		return 'the competing intent would itself reach the step';
	}

	if (!hasFencing && orderSteps.has(step)) {
		return 'servers without fencing receive no grant orders';
	}

	return undefined;
}

/** Returns the cells to run and the cells that do not apply. */
export function matrixCells(hasFencing = true): {cells: Cell[]; skipped: SkippedCell[]} {
	const cells: Cell[] = [];
	const skipped: SkippedCell[] = [];
	for (const fault of allFaults) {
		for (const step of allSteps) {
			const reason = reasonToSkip({fault, step}, hasFencing);
			if (reason === undefined) {
				cells.push({fault, step});
				continue;
			}

			skipped.push({fault, step, reason});
		}
	}

	return {cells, skipped};
}
