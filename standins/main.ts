/**
 * Starts one stand-in: store PORT | vm-list PORT JSON | target PORT ID WORK_MS
 */
import process from 'node:process';
import type {Vm} from '../src/model/vm-list.js';
import {EtcdGateway} from './etcd-gateway.js';
import {TargetServer} from './target-server.js';
import {VmListServer} from './vm-list-server.js';

const [kind, port = '0', argument = '', workMs = '1'] = process.argv.slice(2);

switch (kind) {
	case 'store': {
		await new EtcdGateway().listen(Number(port));
		break;
	}

	case 'vm-list': {
		await new VmListServer(JSON.parse(argument || '[]') as Vm[]).listen(Number(port));
		break;
	}

	case 'target': {
		const options = {
			hasFencing: true, slots: 3, queue: 110, workMs: Number(workMs), warmMs: 5,
		};
		await new TargetServer(argument, options).listen(Number(port));
		break;
	}

	default: {
		console.error('expected one of: store, vm-list, target');
		process.exitCode = 2;
	}
}
