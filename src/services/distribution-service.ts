/**
 * Service "distribution": answers the calls of other daemons.
 */
import type {Context, ServiceSchema} from 'moleculer';
import type {RouterCore} from '../decisions/router-core.js';
import type {Assignment, Stored} from '../model/assignment.js';
import type {
	Acknowledgement, DocumentUpdate, KnownVersions, LoadReport, PeerConfirmation, ServerProbeResult,
} from '../model/peer.js';

export function createDistributionService(core: RouterCore): ServiceSchema {
	return {
		name: 'distribution',
		actions: {
			confirm(): PeerConfirmation {
				return core.onConfirm();
			},
			fetchDocuments(context: Context<KnownVersions>): DocumentUpdate {
				return core.onFetchDocuments(context.params);
			},
			publish(context: Context<Stored<Assignment>>): Acknowledgement {
				return core.onPublish(context.params);
			},
			async probeServer(context: Context<{server: string}>): Promise<ServerProbeResult> {
				return core.onProbeServer(context.params.server);
			},
			announceLeaving(context: Context<{daemon: string}>): void {
				core.onAnnounceLeaving(context.params.daemon);
			},
			loadReport(context: Context<{service: string}>): LoadReport {
				return core.onLoadReport(context.params.service);
			},
		},
	};
}
