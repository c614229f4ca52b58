/**
 * Settings of the daemon, from flags and environment variables.
 */
import process from 'node:process';
import {z} from 'zod';
import {ErrorCode, RouterError} from '../model/errors.js';
import {defaultTiming, type Timing} from '../model/timing.js';

/** A setting with its documentation, which docs/settings.md repeats. */
export type SettingSpec = {
	/** Flag without dashes, in camel case. */
	flag: string;
	variable: string;
	expected: string;
	fallback?: string;
	schema: z.ZodType;
};

const port = z.coerce.number().int().min(1).max(65_535);
const name = z.string().regex(/^[a-z\d][a-z\d.\-]{0,62}$/v);
const url = z.string().regex(/^https?:\/\/[\d.]+:\d+(\/\S*)?$|^https?:\/\/\[[\da-f:]+\]:\d+(\/\S*)?$/v);
const duration = z.coerce.number().int().min(1).max(60_000);
const vetoTokens = z.string().transform((text, context) => {
	const pairs = text.split(',').map(pair => pair.split('='));
	if (pairs.some(pair => pair.length !== 2 || pair.includes(''))) {
		context.addIssue({code: 'custom', message: 'malformed'});
		return z.NEVER;
	}

	return new Map(pairs as Array<[string, string]>);
});

/** All settings of the daemon. */
export const settingSpecs: SettingSpec[] = [
	{
		flag: 'id',
		variable: 'EELGRASSWHEEL_ID',
		expected: 'name of this daemon, as in the VM list',
		schema: name,
	},
	{
		flag: 'zone',
		variable: 'EELGRASSWHEEL_ZONE',
		expected: 'name of the availability zone',
		schema: name,
	},
	{
		flag: 'host',
		variable: 'EELGRASSWHEEL_HOST',
		expected: 'IP to listen on',
		fallback: '127.0.0.1',
		schema: z.union([z.ipv4(), z.ipv6()]),
	},
	{
		flag: 'port',
		variable: 'EELGRASSWHEEL_PORT',
		expected: 'port for callers, 1 to 65535',
		fallback: '8080',
		schema: port,
	},
	{
		flag: 'controlPort',
		variable: 'EELGRASSWHEEL_CONTROL_PORT',
		expected: 'port for daemons and operators, 1 to 65535',
		fallback: '8081',
		schema: port,
	},
	{
		flag: 'store',
		variable: 'EELGRASSWHEEL_STORE',
		expected: 'comma-separated http://IP:PORT of the key-value service',
		schema: z.string().transform(text => text.split(',')).pipe(z.array(url).min(1)),
	},
	{
		flag: 'vmList',
		variable: 'EELGRASSWHEEL_VM_LIST',
		expected: 'http://IP:PORT/PATH of the VM list',
		schema: url,
	},
	{
		flag: 'peerSecret',
		variable: 'EELGRASSWHEEL_PEER_SECRET',
		expected: 'secret that daemons share, at least 8 characters',
		schema: z.string().min(8),
	},
	{
		flag: 'operatorToken',
		variable: 'EELGRASSWHEEL_OPERATOR_TOKEN',
		expected: 'credential of operators, at least 8 characters',
		schema: z.string().min(8),
	},
	{
		flag: 'vetoTokens',
		variable: 'EELGRASSWHEEL_VETO_TOKENS',
		expected: 'comma-separated CUSTOMER=CREDENTIAL of the veto holders',
		schema: vetoTokens,
	},
	{
		flag: 'statsdHost',
		variable: 'EELGRASSWHEEL_STATSD_HOST',
		expected: 'IP of the metrics receiver',
		fallback: '127.0.0.1',
		schema: z.union([z.ipv4(), z.ipv6()]),
	},
	{
		flag: 'statsdPort',
		variable: 'EELGRASSWHEEL_STATSD_PORT',
		expected: 'port of the metrics receiver, 1 to 65535',
		fallback: '8125',
		schema: port,
	},
	{
		flag: 'routeLeaseMs',
		variable: 'EELGRASSWHEEL_ROUTE_LEASE_MS',
		expected: 'route lease in milliseconds, 1 to 60000',
		fallback: String(defaultTiming.routeLeaseMs),
		schema: duration,
	},
	{
		flag: 'confirmPeriodMs',
		variable: 'EELGRASSWHEEL_CONFIRM_PERIOD_MS',
		expected: 'interval of confirmations in milliseconds, at most a third of the route lease',
		fallback: String(defaultTiming.confirmPeriodMs),
		schema: duration,
	},
	{
		flag: 'startByMs',
		variable: 'EELGRASSWHEEL_START_BY_MS',
		expected: 'longest time between sending a request and its start, in milliseconds',
		fallback: String(defaultTiming.startByMs),
		schema: duration,
	},
	{
		flag: 'clockSkewMs',
		variable: 'EELGRASSWHEEL_CLOCK_SKEW_MS',
		expected: 'bound on the difference of two wall clocks in milliseconds',
		fallback: String(defaultTiming.clockSkewMs),
		schema: duration,
	},
	{
		flag: 'seed',
		variable: 'EELGRASSWHEEL_SEED',
		expected: 'seed of random choices, a whole number',
		fallback: '1',
		schema: z.coerce.number().int(),
	},
];

/** Validated settings. */
export type Settings = {
	id: string;
	zone: string;
	host: string;
	port: number;
	controlPort: number;
	store: string[];
	vmList: string;
	peerSecret: string;
	operatorToken: string;
	vetoTokens: Map<string, string>;
	statsdHost: string;
	statsdPort: number;
	seed: number;
	timing: Timing;
};

/** Thrown for invalid settings; the message lists all of them. */
export class SettingsError extends RouterError {
	override name = 'SettingsError';

	constructor(readonly problems: string[]) {
		super(ErrorCode.BadSettings, problems.join('\n'), 'Correct the settings; "--help" lists them.');
	}
}

/** Returns the flag of a setting as written on the command line. */
export function flagName(spec: SettingSpec): string {
	return `--${spec.flag.replaceAll(/[A-Z]/gv, letter => `-${letter.toLowerCase()}`)}`;
}

/**
 * Reads and validates all settings. Flags take precedence over environment variables.
 *
 * @throws {SettingsError} if any setting is invalid
 */
export function readSettings(flags: Record<string, unknown>, environment: Record<string, string | undefined> = process.env): Settings {
	const problems: string[] = [];
	const values: Record<string, unknown> = {};
	for (const spec of settingSpecs) {
		const given = flags[spec.flag] ?? environment[spec.variable] ?? spec.fallback;
		const parsed = spec.schema.safeParse(given);
		if (parsed.success) {
			values[spec.flag] = parsed.data;
			continue;
		}

		const shown = given === undefined ? 'nothing' : JSON.stringify(given);
		problems.push(`${flagName(spec)} (${spec.variable}): expected ${spec.expected}; got ${shown}`);
	}

	const {routeLeaseMs, confirmPeriodMs, startByMs, clockSkewMs, ...rest} = values as Omit<Settings, 'timing'> & Timing;
	if (confirmPeriodMs * 3 > routeLeaseMs) {
		problems.push(`--confirm-period-ms (EELGRASSWHEEL_CONFIRM_PERIOD_MS): expected at most a third of the route lease of ${routeLeaseMs} ms; got ${confirmPeriodMs}`);
	}

	if (problems.length > 0) {
		throw new SettingsError(problems);
	}

	const timing = {
		...defaultTiming, routeLeaseMs, confirmPeriodMs, startByMs, clockSkewMs,
	};
	return {...rest, timing};
}
