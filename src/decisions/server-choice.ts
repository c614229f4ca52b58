/**
 * Choice of a server for services that are not divided by key.
 */
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import type {Server} from '../model/configuration.js';

/** A server that could take a request. */
export type Candidate = {
	server: Server;
	/** Requests in flight and waiting, per unit of weight and slow-start share. */
	load: number;
};

/** Chooses one of several servers. */
export type ServerChoice = {
	choose(candidates: Candidate[]): Server | undefined;
};

/** Chooses the less loaded of two servers drawn at random. */
export class TwoChoices implements ServerChoice {
	private readonly random;

	constructor(seed: number) {
		this.random = xoroshiro128plus(seed);
	}

	choose(candidates: Candidate[]): Server | undefined {
		if (candidates.length < 2) {
			return candidates[0]?.server;
		}

		const first = uniformInt(this.random, 0, candidates.length - 1);
		const offset = uniformInt(this.random, 1, candidates.length - 1);
		const second = (first + offset) % candidates.length;
		const [a, b] = [candidates[first], candidates[second]];
		return a.load <= b.load ? a.server : b.server;
	}
}

/** Baseline: chooses each server in turn. */
export class RoundRobin implements ServerChoice {
	private next = 0;

	choose(candidates: Candidate[]): Server | undefined {
		this.next += 1;
		return candidates[this.next % Math.max(1, candidates.length)]?.server;
	}
}
