/**
 * The micro-kernel of a daemon: a broker for services that call each other by name inside one process.
 */
import {ServiceBroker} from 'moleculer';
import type {RouterCore} from '../decisions/router-core.js';
import type {Metrics} from '../model/metrics.js';
import {BurnRecorder} from '../decisions/burn-recorder.js';
import {createControlService} from './control-service.js';
import {createDispatcherService} from './dispatcher-service.js';
import {createDistributionService} from './distribution-service.js';
import {createGatewayService, type GatewayOptions} from './gateway-service.js';
import {createLeaderService} from './leader-service.js';
import {createMetricsService} from './metrics-service.js';
import {createOperatorService} from './operator-service.js';

export type KernelOptions = {
	daemon: string;
	core: RouterCore;
	metrics: Metrics;
	gateway: GatewayOptions;
	control: {host: string; port: number; peerSecret: string};
};

/** Creates the broker with all services, without transporter, discovery or balancing. */
export function createKernel(options: KernelOptions): ServiceBroker {
	let contextCount = 0;
	const broker = new ServiceBroker({
		// eslint-disable-next-line @typescript-eslint/naming-convention -- name of the library.
		nodeID: options.daemon,
		transporter: null,
		logger: false,
		internalServices: false,
		internalMiddlewares: false,
		skipProcessEventRegistration: true,
		// Contexts never leave the process, so a counter is unique enough; generating a random id costs more than a call.
		uidGenerator() {
			contextCount += 1;
			return String(contextCount);
		},
	});
	const burn = new BurnRecorder();
	broker.createService(createMetricsService(options.metrics));
	broker.createService(createDispatcherService(options.core, burn));
	broker.createService(createDistributionService(options.core));
	broker.createService(createLeaderService(options.core));
	broker.createService(createOperatorService(options.core, burn));
	broker.createService(createControlService(options.control));
	broker.createService(createGatewayService(options.gateway, options.core.denials));
	return broker;
}
