/**
 * Addresses of servers.
 */
import {isIPv4} from 'node:net';

/** Highest port; port 0 stands for any free one and cannot be connected to. */
export const highestPort = 65_535;

/** IPv4 address and port. */
export type Address = {
	ip: string;
	port: number;
};

/** Parses IP:PORT; returns undefined if no connection can be opened to it. */
export function parseAddress(text: string): Address | undefined {
	const match = /^(?<ip>[\d.]{7,15}):(?<port>[1-9]\d{0,4})$/v.exec(text);
	const {ip = '', port = ''} = match?.groups ?? {};
	return isIPv4(ip) && Number(port) <= highestPort ? {ip, port: Number(port)} : undefined;
}
