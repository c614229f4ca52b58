/**
 * Service "leader": resigns leadership on shutdown and counts the services that this daemon leads.
 */
import type {ServiceSchema} from 'moleculer';
import type {RouterCore} from '../decisions/router-core.js';

export function createLeaderService(core: RouterCore): ServiceSchema {
	return {
		name: 'leader',
		actions: {
			async resign(): Promise<void> {
				await core.resign();
			},
			count(): number {
				return core.ledServiceCount;
			},
		},
	};
}
