/**
 * Bundles the daemon into one file under target/: a process on the platform has few descriptors for files.
 */
import {rm} from 'node:fs/promises';
import {build} from 'esbuild';

const outputFolder = 'target';

await rm(outputFolder, {recursive: true, force: true});
await build({
	entryPoints: {eelgrasswheeld: 'src/daemon/platform-main.ts'},
	outdir: outputFolder,
	outExtension: {'.js': '.mjs'},
	bundle: true,
	platform: 'node',
	format: 'esm',
	target: 'node20',
	minify: true,
	keepNames: false,
	alias: {undici: './deploy/undici-client.cjs'},
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
	banner: {js: 'import {createRequire} from \'node:module\'; const require = createRequire(import.meta.url);'},
	logLevel: 'error',
});
