import test from 'ava';
import {matchRequest, type RequestHead} from '../../src/decisions/request-matcher.js';
import {configurationBodySchema, type Configuration} from '../../src/model/configuration.js';
import {type BadRequestError, ErrorCode} from '../../src/model/errors.js';

const classes = [
	{
		name: 'transfer', methods: ['POST'], priority: 'instruction', deadlineMs: 1000, idempotent: false,
	},
	{
		name: 'read', methods: ['GET'], priority: 'read', deadlineMs: 1000, idempotent: true,
	},
];

const configuration: Configuration = {
	version: 1,
	appliedIntents: [],
	token: '',
	body: configurationBodySchema.parse({
		services: [
			{
				name: 'registry', customer: 'c', pathPrefix: '/registry', divided: true, key: {source: 'path', name: '1'}, classes,
			},
			{
				name: 'towers', customer: 'c', host: 'towers.example', divided: true, key: {source: 'header', name: 'X-Tower'}, classes,
			},
			{
				name: 'logs', customer: 'c', pathPrefix: '/logs', divided: true, key: {source: 'query', name: 'turbine'}, classes,
			},
			{
				name: 'letters', customer: 'c', pathPrefix: '/letters', divided: false, classes,
			},
		],
		servers: [],
	}),
};

type Case = {
	title: string;
	head: Partial<RequestHead>;
	service?: string;
	key?: string;
	code?: ErrorCode;
	status?: number;
};

const cases: Case[] = [
	{
		title: 'read the key from the path', head: {path: '/registry/applicant-1/status'}, service: 'registry', key: 'applicant-1',
	},
	{
		title: 'decode the key', head: {path: '/registry/a%2Db'}, service: 'registry', key: 'a-b',
	},
	{
		title: 'read the key from a header', head: {host: 'towers.example:8080', path: '/blades', headers: {'x-tower': 't7'}}, service: 'towers', key: 't7',
	},
	{
		title: 'read the key from the query', head: {path: '/logs/faults?turbine=w9&from=1'}, service: 'logs', key: 'w9',
	},
	{title: 'need no key for an undivided service', head: {path: '/letters/5'}, service: 'letters'},
	{
		title: 'refuse a path that matches a prefix only within a segment', head: {path: '/registrywide/1'}, code: ErrorCode.UnknownService, status: 404,
	},
	{
		title: 'refuse a missing key', head: {path: '/registry'}, code: ErrorCode.MissingKey, status: 400,
	},
	{
		title: 'refuse a key that is too long', head: {path: `/registry/${'x'.repeat(600)}`}, code: ErrorCode.MissingKey, status: 400,
	},
	{
		title: 'refuse a malformed escape', head: {path: '/registry/%zz'}, code: ErrorCode.BadRequest, status: 400,
	},
	{
		title: 'refuse a method that no class accepts', head: {method: 'DELETE', path: '/registry/a'}, code: ErrorCode.BadRequest, status: 405,
	},
	{
		title: 'refuse an instruction without an id', head: {method: 'POST', path: '/registry/a'}, code: ErrorCode.MissingInstructionId, status: 400,
	},
];

for (const {title, head, service, key, code, status} of cases) {
	test(`should ${title}`, t => {
		const request: RequestHead = {
			method: 'GET', path: '/', host: 'router', headers: {}, ...head,
		};
		t.deepEqual(resultOf(request), {
			service, key, code, status,
		});
	});
}

function resultOf(request: RequestHead) {
	try {
		const match = matchRequest(request, configuration);
		return {
			service: match.service.name, key: match.key, code: undefined, status: undefined,
		};
	} catch (error) {
		const {code, status} = error as BadRequestError;
		return {
			service: undefined, key: undefined, code, status,
		};
	}
}
