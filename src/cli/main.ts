#!/usr/bin/env node
/**
 * Program eelgrasswheel: the operators' and veto holders' command line.
 */
import process from 'node:process';
import meow from 'meow';
import {runCommand} from './commands.js';
import {ExitCode, failureOf} from './command-failure.js';
import {ControlConnection} from './control-connection.js';
import {Output} from './output.js';

const cli = meow(`
  Usage
    $ eelgrasswheel <command> [options]

  Commands
    intent submit FILE          submit an intent (JSON or YAML) and print its plan
    plan list                   list plans
    plan show ID                show a plan
    plan confirm ID             confirm a plan with a veto holder's credential
    plan reject ID              reject a plan
    drain SERVER                submit the intent that a server leaves
    restore SERVER              submit the intent that a server comes back
    status                      active configuration, leaders and health of every daemon
    assignment show SERVICE     owners, epochs and moves of a service
    explain SERVICE [KEY]       why a key is where it is, and what was done
    explain request ID [FILE]   what the logs in files, or on standard input, tell of a request
    configuration check FILE [ACTIVE]
                                check a configuration of the users' platform and compare it with the active configuration;
                                exits with 0 if clean, 1 with warnings, 2 with errors
    report burn [--html FILE]   error budget used by customer, service and class

  Options
    --daemon, EELGRASSWHEEL_DAEMON  IP:PORT of a daemon's control port (default 127.0.0.1:8081)
    --token, EELGRASSWHEEL_TOKEN    credential of an operator or veto holder
    --wait                          after a confirmation, wait until the plan is active on every daemon
    --id                            id of the intent for "drain" and "restore"
    --json                          print JSON

  Exit codes
    0 done, 1 failed, 2 wrong usage or file, 3 refused, 4 daemon or store not available
`, {
	importMeta: import.meta,
	flags: {
		daemon: {type: 'string', default: process.env.EELGRASSWHEEL_DAEMON ?? '127.0.0.1:8081'},
		token: {type: 'string', default: process.env.EELGRASSWHEEL_TOKEN ?? ''},
		wait: {type: 'boolean', default: false},
		id: {type: 'string'},
		html: {type: 'string'},
		json: {type: 'boolean', default: false},
	},
	allowUnknownFlags: false,
});

const connection = new ControlConnection(cli.flags.daemon, cli.flags.token);
try {
	await runCommand(cli.input, {connection, output: new Output(cli.flags.json), flags: cli.flags});
} catch (error) {
	const failure = failureOf(error);
	console.error(cli.flags.json ? JSON.stringify(failure.asObject()) : failure.describe());
	process.exitCode = failure.exitCode;
	if (failure.exitCode === ExitCode.Usage && cli.input.length === 0) {
		console.error(cli.help);
	}
} finally {
	await connection.close();
}
