/**
 * Service "leader": gives up leadership on shutdown.
 */
import type {ServiceSchema} from 'moleculer';
import type {RouterCore} from '../decisions/router-core.js';

/** Creates the service. */
export function createLeaderService(core: RouterCore): ServiceSchema {
	return {
		name: 'leader',
		actions: {
			async resign(): Promise<void> {
				await core.resign();
			},
			count(): number {
				return core.led;
			},
		},
	};
}
