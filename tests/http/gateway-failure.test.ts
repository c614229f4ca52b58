import test from 'ava';
import {ServiceBroker} from 'moleculer';
import {request} from 'undici';
import {OutcomeKind} from '../../src/decisions/outcome.js';
import {BadRequestError, NotRunError, NotRunReason} from '../../src/model/errors.js';
import {ContractHeader} from '../../src/model/headers.js';
import {createGatewayService} from '../../src/services/gateway-service.js';
import {freePort} from './deployment.js';

const match = () => ({service: {maxBodyBytes: 100}, requestClass: {deadlineMs: 1000}});
const answered = () => ({kind: OutcomeKind.NotRun, error: new NotRunError(NotRunReason.Paused)});
const failing = (error: Error) => () => {
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
		title: 'not blame the caller for an unexpected failure of the matching', match: failing(new TypeError('unexpected')), dispatch: answered, status: 504, outcome: 'unknown',
	},
	{
		title: 'not blame the caller for an unexpected failure after the request may have run', match, dispatch: failing(new TypeError('unexpected')), status: 504, outcome: 'unknown',
	},
	{
		title: 'tell the caller what is wrong with a request', match: failing(new BadRequestError('wrong')), dispatch: answered, status: 400, outcome: undefined,
	},
	{
		title: 'tell the caller that a request did not run', match, dispatch: answered, status: 503, outcome: 'not-run',
	},
];

for (const {title, match, dispatch, status, outcome} of cases) {
	test(`should ${title}`, async t => {
		const port = await freePort();
		const broker = new ServiceBroker({logger: false, transporter: null, skipProcessEventRegistration: true});
		broker.createService({name: 'dispatcher', actions: {match, dispatch}});
		broker.createService(createGatewayService({host: '127.0.0.1', port, peerSecret: 'secret'}, {judge: denial => denial}));
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
