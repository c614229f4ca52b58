/**
 * Loaded into each daemon before its program: sends its connections to targets over its own links.
 *
 * On loopback, all connections come from the same address, so that the two ends of a link cannot be told apart otherwise.
 */
import {readFileSync} from 'node:fs';
import {Socket, type SocketConnectOpts} from 'node:net';
import process from 'node:process';
import {settingsVariable} from '../src/platform/settings.js';
import {linkAddress, parseDaemonIp} from './addresses.js';

const daemon = parseDaemonIp((JSON.parse(readFileSync(process.env[settingsVariable] ?? '', 'utf8')) as {ip: string}).ip);

const {connect} = Socket.prototype as {connect: (...parameters: unknown[]) => Socket};

/** `net.connect` passes its parameters as one list whose first item holds the options. */
function optionsOf(parameters: unknown[]): SocketConnectOpts & {host?: string} {
	return (Array.isArray(parameters[0]) ? parameters[0][0] : parameters[0]) as SocketConnectOpts & {host?: string};
}

Socket.prototype.connect = function (this: Socket, ...parameters: unknown[]): Socket {
	const options = optionsOf(parameters);
	if (daemon && typeof options.host === 'string') {
		options.host = linkAddress(daemon, options.host);
	}

	return connect.apply(this, parameters);
};
