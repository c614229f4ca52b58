/**
 * Report on error budget burn.
 */
import type {BurnSample} from '../model/burn.js';

/** Windows of the report in minutes. */
const windowsMinutes = [5, 60, 360, 1440];

const minuteMs = 60_000;

/** Error budget burn of one request class in one window. */
export type BurnWindow = {
	minutes: number;
	total: number;
	failed: number;
	/** Failed share of the requests divided by the share that the objective allows; 1 uses up the budget exactly. */
	burnRate: number;
};

/** Error budget burn of one request class of a service. */
export type BurnRow = {
	customer: string;
	service: string;
	requestClass: string;
	objective: number;
	windows: BurnWindow[];
	/** Failed requests of the longest window by cause, most frequent first. */
	causes: Array<{cause: string; count: number}>;
};

/** Sums the samples of all daemons, in one row for each request class. */
export function burnReport(samples: BurnSample[], now: number): BurnRow[] {
	const groups = new Map<string, BurnSample[]>();
	for (const sample of samples) {
		const name = `${sample.customer}/${sample.service}/${sample.requestClass}`;
		groups.set(name, [...groups.get(name) ?? [], sample]);
	}

	return [...groups].toSorted(([a], [b]) => (a < b ? -1 : 1)).map(([, group]) => rowOf(group, now));
}

function rowOf(samples: BurnSample[], now: number): BurnRow {
	const {customer, service, requestClass, objective} = samples[0];
	const causes = new Map<string, number>();
	for (const sample of samples) {
		for (const [cause, count] of Object.entries(sample.failed)) {
			causes.set(cause, (causes.get(cause) ?? 0) + count);
		}
	}

	return {
		customer,
		service,
		requestClass,
		objective,
		windows: windowsMinutes.map(minutes => windowOf(samples, minutes, {now, objective})),
		causes: [...causes].map(([cause, count]) => ({cause, count})).toSorted((a, b) => b.count - a.count),
	};
}

function windowOf(samples: BurnSample[], minutes: number, {now, objective}: {now: number; objective: number}): BurnWindow {
	const recent = samples.filter(sample => sample.minute > now - ((minutes + 1) * minuteMs));
	const total = recent.reduce((sum, sample) => sum + sample.total, 0);
	const failed = recent.reduce((sum, sample) => sum + Object.values(sample.failed).reduce((count, value) => count + value, 0), 0);
	const burnRate = total === 0 ? 0 : failed / total / (1 - objective);
	return {
		minutes, total, failed, burnRate,
	};
}

/** Renders the report as text. */
export function renderBurnText(rows: BurnRow[]): string[] {
	if (rows.length === 0) {
		return ['No requests were recorded.'];
	}

	return rows.flatMap(row => [
		`${row.customer} / ${row.service} / ${row.requestClass} (objective ${(row.objective * 100).toFixed(3)} %)`,
		...row.windows.map(window => `  last ${String(window.minutes).padStart(4)} min: burn ${window.burnRate.toFixed(2).padStart(8)}, ${window.failed} of ${window.total} requests`),
		`  used by: ${row.causes.map(({cause, count}) => `${cause} ${count}`).join(', ') || 'nothing'}`,
	]);
}

/** Renders the report as one HTML page without external resources. */
export function renderBurnHtml(rows: BurnRow[]): string {
	const body = rows.map(row => {
		const cells = row.windows.map(window => `<td class="${window.burnRate > 1 ? 'over' : ''}">${window.burnRate.toFixed(2)}<br><small>${window.failed}/${window.total}</small></td>`);
		const causes = row.causes.map(({cause, count}) => `${escapeHtml(cause)} ${count}`).join(', ');
		return `<tr><th>${escapeHtml(row.customer)} / ${escapeHtml(row.service)} / ${escapeHtml(row.requestClass)}</th>${cells.join('')}<td>${causes}</td></tr>`;
	});
	const heads = windowsMinutes.map(minutes => `<th>${minutes} min</th>`).join('');
	return `<!doctype html>
<html lang="en"><meta charset="utf-8"><title>Service-level burn</title>
<style>body{font-family:sans-serif}td,th{padding:.4em 1em;text-align:left;border-bottom:1px solid #ccc}.over{background:#fdd}</style>
<h1>Service-level burn</h1>
<p>A burn of 1 uses the error budget up exactly.</p>
<table><tr><th>Customer / service / class</th>${heads}<th>Used by</th></tr>${body.join('')}</table></html>
`;
}

function escapeHtml(text: string): string {
	return text.replaceAll('&', '&amp;').replaceAll('<', '&lt;').replaceAll('>', '&gt;').replaceAll('"', '&quot;');
}
