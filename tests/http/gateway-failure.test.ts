import test from 'ava';
import {ServiceBroker} from 'moleculer';
import {request} from 'undici';
import {OutcomeKind} from '../../src/decisions/outcome.js';
import {BadRequestError, NotRunError, NotRunReason} from '../../src/model/errors.js';
import {ContractHeader} from '../../src/model/headers.js';
import {createGatewayService} from '../../src/services/gateway-service.js';
import {OpenRequests} from '../../src/services/open-requests.js';
import {freePort} from './deployment.js';

const match = () => ({service: {maxBodyBytes: 100}, requestClass: {deadlineMs: 1000}});
const notRun = () => ({kind: OutcomeKind.NotRun, error: new NotRunError(NotRunReason.Paused)});
const throwing = (error: Error) => () => {
	throw error;
};

type Case = {
	title: string;
	match: () => unknown;
	dispatch: () => unknown;
	status: number;
	outcome: string | undefined;
};

const cases: Case[] = [
	{
		title: 'report an unknown outcome when the matching fails unexpectedly', match: throwing(new TypeError('unexpected')), dispatch: notRun, status: 504, outcome: 'unknown',
	},
	{
		title: 'report an unknown outcome when a request fails unexpectedly after it may have run', match, dispatch: throwing(new TypeError('unexpected')), status: 504, outcome: 'unknown',
	},
	{
		title: 'report a bad request to the caller', match: throwing(new BadRequestError('wrong')), dispatch: notRun, status: 400, outcome: undefined,
	},
	{
		title: 'report to the caller that a request did not run', match, dispatch: notRun, status: 503, outcome: 'not-run',
	},
];

for (const {title, match, dispatch, status, outcome} of cases) {
	test(`should ${title}`, async t => {
		const port = await freePort();
		const broker = new ServiceBroker({logger: false, transporter: null, skipProcessEventRegistration: true});
		broker.createService({name: 'dispatcher', actions: {match, dispatch}});
		broker.createService(createGatewayService({
			host: '127.0.0.1', port, peerSecret: 'secret', openRequests: new OpenRequests(),
		}, {judge: denial => denial}));
		await broker.start();
		try {
			const answer = await request(`http://127.0.0.1:${port}/registry/applicant-1`);
			await answer.body.dump();
			t.deepEqual([answer.statusCode, answer.headers[ContractHeader.Outcome]], [status, outcome]);
		} finally {
			await broker.stop();
		}
	});
}
