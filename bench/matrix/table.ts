/**
 * The cells of the matrix and those that do not apply.
 */
import {allFaults, Fault} from './faults.js';
import type {Cell} from './scenario.js';
import {allSteps, Step} from './steps.js';

/** A cell that does not apply, with its reason. */
export type SkippedCell = Cell & {reason: string};

const operatorSteps = new Set([Step.Submitted, Step.Planned]);

const orderSteps = new Set([Step.Revoked, Step.Drained, Step.Granted]);

/** Cells of KNOWN-RED.txt. */
export const knownRed: Cell[] = [Step.Distributed, Step.MovePaused, Step.Revoked, Step.Drained, Step.OwnerWritten, Step.Granted]
	.map(step => ({fault: Fault.StoreDown, step}));

/** Returns true if a cell is in KNOWN-RED.txt. */
export function isKnownRed({fault, step}: Cell): boolean {
	return knownRed.some(cell => cell.fault === fault && cell.step === step);
}

/** Returns why a cell does not apply, if it does not. */
function reasonToSkip({fault, step}: Cell, checks: boolean): string | undefined {
	if (fault === Fault.CompetingIntent && operatorSteps.has(step)) {
		return 'the competing intent would trigger its own step';
	}

	if (!checks && orderSteps.has(step)) {
		return 'servers that check nothing get no orders';
	}

	return undefined;
}

/** Returns all cells. */
export function matrixCells(checks = true): {cells: Cell[]; skipped: SkippedCell[]} {
	const cells: Cell[] = [];
	const skipped: SkippedCell[] = [];
	for (const fault of allFaults) {
		for (const step of allSteps) {
			const reason = reasonToSkip({fault, step}, checks);
			if (reason === undefined) {
				cells.push({fault, step});
				continue;
			}

			skipped.push({fault, step, reason});
		}
	}

	return {cells, skipped};
}
