/**
 * Matching of requests to services, classes and keys.
 */
import {
	KeySource, type Configuration, type RequestClass, type Service,
} from '../model/configuration.js';
import {BadRequestError, ErrorCode} from '../model/errors.js';

/** The parts of a request that determine its route. */
export type RequestHead = {
	method: string;
	/** Path with the query. */
	path: string;
	host: string;
	headers: Record<string, string | string[] | undefined>;
};

/** Longest key and instruction id in characters. */
const maxNameLength = 512;

/** What a request was matched to. */
export type Match = {
	service: Service;
	requestClass: RequestClass;
	key: string | undefined;
	instructionId: string | undefined;
};

/**
 * Matches a request.
 *
 * @throws {BadRequestError} if no service or class matches it, or its key or instruction id is missing
 */
export function matchRequest(head: RequestHead, configuration: Configuration): Match {
	const path = head.path.split('?', 1)[0] ?? '/';
	const service = configuration.body.services.find(candidate => servesRequest(candidate, head.host, path));
	if (!service) {
		throw new BadRequestError(`No service takes requests for ${head.host}${path}.`, 404, ErrorCode.UnknownService);
	}

	const servicePath = service.pathPrefix === undefined ? path : `/${path.slice(service.pathPrefix.length).replace(/^\//v, '')}`;
	const requestClass = service.classes.find(candidate => candidate.methods.includes(head.method) && servicePath.startsWith(candidate.pathPrefix));
	if (!requestClass) {
		throw new BadRequestError(`Service ${service.name} takes no ${head.method} requests for ${servicePath}.`, 405);
	}

	const key = service.divided ? keyOf(service, head, servicePath) : undefined;
	const instructionId = requestClass.idempotent ? undefined : instructionIdOf(head);
	return {
		service, requestClass, key, instructionId,
	};
}

function servesRequest(service: Service, host: string, path: string): boolean {
	const hostMatches = service.host === undefined || service.host === host.replace(/:\d+$/v, '');
	const prefix = service.pathPrefix?.replace(/\/$/v, '');
	const pathMatches = prefix === undefined || path === prefix || path.startsWith(`${prefix}/`);
	return hostMatches && pathMatches;
}

function keyOf(service: Service, head: RequestHead, servicePath: string): string {
	const key = readKey(service, head, servicePath);
	if (key === undefined || key === '' || key.length > maxNameLength) {
		const {source, name} = service.key!;
		throw new BadRequestError(`Expected the key of service ${service.name} in ${source} "${name}", with 1 to ${maxNameLength} characters.`, 400, ErrorCode.MissingKey);
	}

	return key;
}

function readKey(service: Service, head: RequestHead, servicePath: string): string | undefined {
	const {source, name} = service.key!;
	switch (source) {
		case KeySource.Header: {
			const value = head.headers[name.toLowerCase()];
			return typeof value === 'string' ? value : undefined;
		}

		case KeySource.Query: {
			return new URLSearchParams(head.path.split('?')[1] ?? '').get(name) ?? undefined;
		}

		case KeySource.Path: {
			return decodeSegment(servicePath.split('/')[Number(name)]);
		}
	}
}

/** Decodes a segment, so that keys that differ only in their percent-encoding are the same key. */
function decodeSegment(segment: string | undefined): string | undefined {
	try {
		return segment === undefined ? undefined : decodeURIComponent(segment);
	} catch {
		throw new BadRequestError('The path has a malformed escape sequence.');
	}
}

function instructionIdOf(head: RequestHead): string {
	const id = head.headers['idempotency-key'];
	if (typeof id !== 'string' || id === '' || id.length > maxNameLength) {
		throw new BadRequestError(`Expected an Idempotency-Key header with 1 to ${maxNameLength} characters.`, 400, ErrorCode.MissingInstructionId);
	}

	return id;
}
