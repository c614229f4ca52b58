/**
 * Runs the bundled daemon with the code cache that the build created; V8 compiles the source if it rejects the cache.
 */
const {readFileSync} = require('node:fs');
const path = require('node:path');
const process = require('node:process');
const {Script} = require('node:vm');

const filename = path.join(__dirname, 'daemon.cjs');

/** Reads the code cache; without it the daemon starts, but more slowly. */
function readCode() {
	try {
		return readFileSync(path.join(__dirname, 'daemon.code'));
	} catch {
		return undefined;
	}
}

/** Compiles the daemon, using the code cache if there is one. */
function compile(cachedData) {
	const source = `(function (require, module, exports) {${readFileSync(filename, 'latin1')}\n})`;
	return new Script(source, {filename, cachedData});
}

function run(script) {
	const module = {exports: {}};
	script.runInThisContext()(require, module, module.exports);
}

module.exports = {compile, run};

if (require.main === module) {
	// Until there is a listener, the default action of the runtime ends the process. The event loop delivers the signals once
	// the program has added its own listeners.
	for (const signal of ['SIGTERM', 'SIGINT', 'SIGHUP']) {
		process.on(signal, () => undefined);
	}

	run(compile(readCode()));
}
