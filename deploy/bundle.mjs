/**
 * Bundles the daemon into one script under target/, or under the folder that is given: a process on the platform has few
 * descriptors for files. The script is compiled in advance, because every restart pays for what is left to compile.
 */
import {execFileSync} from 'node:child_process';
import {copyFile, readFile, rm} from 'node:fs/promises';
import path from 'node:path';
import process from 'node:process';
import {build} from 'esbuild';

const outputFolder = process.argv[2] ?? 'target';

/** Folders of the kernel library whose variants are chosen by options that the daemon leaves at "none". */
const variantFolders = /\/moleculer\/src\/(?:cachers|loggers|metrics\/reporters|middlewares|serializers|tracing\/exporters|transporters|validators)$/v;

/** Filters of the bundler, which knows no `v` flag either. */
// eslint-disable-next-line require-unicode-regexp
const filters = {relative: /^\.\//, all: /.*/};

/** Variants that the library loads or extends in any case. */
const neededVariants = new Set(['./base', './json']);

/** Packages that only the unused variants and the library's own loader of service files call; the bundler knows no `v` flag. */
// eslint-disable-next-line require-unicode-regexp
const unusedPackages = /^(?:fastest-validator|glob|node-fetch|recursive-watch)$/;

/**
 * Leaves the unused variants of the kernel library out of the bundle: loaded, they take 6 MB in each process.
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
	// An entry point of its own keeps the first line of the program, which is for the shell, out of the script.
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
	// Optional parts of the kernel library that are not installed and not used.
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

/** The engine takes compiled code only under the options with which it was compiled. */
const [, options = ''] = /^run = "node (?<options>.*) \S+"$/mv.exec(await readFile('deploy/system.toml', 'utf8')) ?? [];
execFileSync(process.execPath, [...options.split(' ').filter(Boolean), 'deploy/code-cache.cjs', outputFolder], {stdio: 'inherit'});
