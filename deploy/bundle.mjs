/**
 * Bundles the daemon into one script in target/, or in the folder given as argument, because a process on the platform has
 * few file descriptors. Compiles the script ahead of time, because otherwise every restart compiles it again.
 */
import {execFileSync} from 'node:child_process';
import {copyFile, readFile, rm} from 'node:fs/promises';
import path from 'node:path';
import process from 'node:process';
import {build} from 'esbuild';

const outputFolder = process.argv[2] ?? 'target';

/** Folders of moleculer whose variants are chosen by options that the daemon leaves at "none". */
const variantFolders = /\/moleculer\/src\/(?:cachers|loggers|metrics\/reporters|middlewares|serializers|tracing\/exporters|transporters|validators)$/v;

/** Filters for esbuild, which does not support the `v` flag. */
// eslint-disable-next-line require-unicode-regexp
const filters = {relative: /^\.\//, all: /.*/};

/** Variants that moleculer always loads or extends. */
const neededVariants = new Set(['./base', './json']);

/** Packages used only by the unused variants and by moleculer's loader of service files; esbuild does not support the `v` flag. */
// eslint-disable-next-line require-unicode-regexp
const unusedPackages = /^(?:fastest-validator|glob|node-fetch|recursive-watch)$/;

/**
 * Leaves the unused variants of moleculer out of the bundle: they would take 6 MB of memory in each process.
 */
const unusedVariants = {
	name: 'unused-variants',
	setup({onResolve, onLoad}) {
		const empty = {path: 'empty', namespace: 'unused'};
		onResolve({filter: filters.relative}, ({path, importer, resolveDir}) =>
			variantFolders.test(resolveDir) && importer.endsWith('/index.js') && !neededVariants.has(path) ? empty : undefined);
		onResolve({filter: unusedPackages}, () => empty);
		onLoad({filter: filters.all, namespace: 'unused'}, () => ({contents: 'module.exports = {};'}));
	},
};

await rm(outputFolder, {recursive: true, force: true});
await build({
	// Importing the program from a separate entry point keeps its shebang line out of the script.
	stdin: {contents: 'import \'./src/daemon/platform-main.ts\';', resolveDir: '.'},
	outfile: path.join(outputFolder, 'daemon.cjs'),
	bundle: true,
	platform: 'node',
	format: 'cjs',
	target: 'node20',
	minify: true,
	keepNames: false,
	alias: {moleculer: './deploy/service-broker.cjs', undici: './deploy/undici-client.cjs'},
	plugins: [unusedVariants],
	// Optional dependencies of moleculer that are neither installed nor used.
	external: [
		'amqplib',
		'avsc',
		'bunyan',
		'cbor-x',
		'dd-trace',
		'debug',
		'etcd3',
		'fakes',
		'ioredis',
		'jaeger-client',
		'kafka-node',
		'kafkajs',
		'log4js',
		'mqtt',
		'msgpack5',
		'nats',
		'node-nats-streaming',
		'notepack.io',
		'pino',
		'protobufjs',
		'redlock',
		'rhea-promise',
		'thrift',
		'winston',
		'winston-context',
		'zipkin-javascript-opentracing',
		'@moleculer/database',
		'moleculer-repl',
		'tcp-port-used',
		'vm2',
		'bare-events',
	],
	logLevel: 'error',
});

await copyFile('deploy/eelgrasswheeld.cjs', path.join(outputFolder, 'eelgrasswheeld.cjs'));

/** V8 accepts cached code only if it was compiled with the same command-line options. */
const [, options = ''] = /^run = "node (?<options>.*) \S+"$/mv.exec(await readFile('deploy/system.toml', 'utf8')) ?? [];
execFileSync(process.execPath, [...options.split(' ').filter(Boolean), 'deploy/code-cache.cjs', outputFolder], {stdio: 'inherit'});
