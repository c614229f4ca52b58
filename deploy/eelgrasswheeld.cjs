/**
 * Runs the bundled daemon from code that the build has compiled; compiles it anew if the engine refuses that code.
 */
const {readFileSync} = require('node:fs');
const path = require('node:path');
const {Script} = require('node:vm');

const filename = path.join(__dirname, 'daemon.cjs');

/** Reads the compiled code; a missing file only makes the start slower. */
function readCode() {
	try {
		return readFileSync(path.join(__dirname, 'daemon.code'));
	} catch {
		return undefined;
	}
}

/** Compiles the daemon, from code that was compiled before if there is any. */
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
	run(compile(readCode()));
}
