/**
 * Waiting for some of several promises.
 */

/** Waits until `count` promises are fulfilled or all are settled. */
export async function settleSome<Result>(promises: Array<Promise<Result>>, count: number, onResult: (result: Result) => void): Promise<void> {
	if (promises.length === 0) {
		return;
	}

	await new Promise<void>(resolve => {
		let fulfilled = 0;
		let settled = 0;
		const onSettled = (isFulfilled: boolean) => {
			settled += 1;
			fulfilled += isFulfilled ? 1 : 0;
			if (fulfilled >= count || settled === promises.length) {
				resolve();
			}
		};

		for (const promise of promises) {
			promise.then(result => {
				onResult(result);
				onSettled(true);
			}, () => {
				onSettled(false);
			});
		}
	});
}
