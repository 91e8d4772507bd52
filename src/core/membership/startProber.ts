/**
 * @module
 * Failure detector: probes one member each period, through relays when it does not answer, and evaluates the result.
 */
import type { CancelTimer, Clock } from "../time/clock.js";
import { chooseRelays } from "./chooseRelays.js";
import type { LocalHealth } from "./createLocalHealth.js";
import { createProbeOrder } from "./createProbeOrder.js";
import type { Member } from "./memberTypes.js";
import type { RelayAnswer } from "./peerMessages.js";

/** Interval between two probes. */
export const probePeriodMs = 1_000;

/** Timeout of the direct probe, after which relays are asked. */
export const directTimeoutMs = 400;

/** Dependencies of {@link startProber}. */
export interface ProberDependencies {
    readonly clock: Clock;
    readonly random: () => number;
    readonly health: LocalHealth;
    readonly listPresent: () => readonly Member[];
    /** Sends a probe; `onAnswer` receives whether the expected instance answered. */
    readonly sendProbe: (target: Member, onAnswer: (isReached: boolean) => void) => void;
    readonly sendRelay: (
        relay: Member,
        target: Member,
        onAnswer: (answer: RelayAnswer | undefined) => void,
    ) => void;
    /** Clock time of the last message received from a member itself. */
    readonly lastReceivedMs: (instance: string) => number | undefined;
    /** Number of suspicions that a member refuted recently. */
    readonly countRefutations: (instance: string) => number;
    readonly markSuspect: (target: Member) => void;
    /** Called at the start of each period and before relays are asked or a probe is evaluated. */
    readonly checkPause: () => void;
    /** Contacts a known address that no present member has, if there is one. */
    readonly contactAbsent: () => void;
}

/** The running prober. */
export interface Prober {
    /** Discards all pending probes without evaluating them. */
    readonly discardProbes: () => void;
    readonly stop: () => void;
}

const relayCount = 3;

/** Periods between two contacts with an address that no present member has. */
const absentContactPeriods = 5;

/** Number of periods after the start in each of which such an address is contacted. */
const joinPeriods = 10;

/** Maximum failed probes before a suspicion, for a member that often refutes suspicions. */
const maxFailedProbes = 4;

interface ProbeRun {
    readonly target: Member;
    readonly startedMs: number;
    readonly epoch: number;
    isReached: boolean;
    relaysAsked: number;
    relaysAnswered: number;
}

/**
 * Starts probing.
 *
 * @param dependencies - The clock, the members and the functions that send.
 * @returns The running prober.
 * @example
 * const prober = startProber(dependencies);
 */
export function startProber(dependencies: ProberDependencies): Prober {
    const { clock, health, random } = dependencies;
    const order = createProbeOrder(random);
    const failedProbes = new Map<string, number>();
    let epoch = 0;
    let period = 0;
    let cancelTick: CancelTimer = clock.after(random() * probePeriodMs, tick);

    function askRelays(run: ProbeRun): void {
        dependencies.checkPause();
        if (run.epoch !== epoch) {
            return;
        }
        clock.after((probePeriodMs - directTimeoutMs) * health.timeFactor(), () => evaluate(run));
        if (run.isReached) {
            return;
        }
        const relays = chooseRelays(dependencies.listPresent(), run.target, relayCount, random);
        run.relaysAsked = relays.length;
        for (const relay of relays) {
            dependencies.sendRelay(relay, run.target, answer => {
                run.relaysAnswered += answer === undefined ? 0 : 1;
                run.isReached ||= answer?.isReached ?? false;
            });
        }
    }

    function recordFailedProbe(target: Member): void {
        const count = (failedProbes.get(target.instance) ?? 0) + 1;
        const needed = Math.min(maxFailedProbes, 1 + dependencies.countRefutations(target.instance));
        if (count >= needed) {
            failedProbes.delete(target.instance);
            dependencies.markSuspect(target);
            return;
        }
        failedProbes.set(target.instance, count);
        order.prefer(target.instance);
    }

    function evaluate(run: ProbeRun): void {
        dependencies.checkPause();
        if (run.epoch !== epoch) {
            return;
        }
        if (run.isReached) {
            failedProbes.delete(run.target.instance);
            health.recordSuccess();
            return;
        }
        if ((dependencies.lastReceivedMs(run.target.instance) ?? -1) >= run.startedMs) {
            return;
        }
        if (run.relaysAsked > 0 && run.relaysAnswered === 0) {
            // No relay answered: this instance itself may be faulty, so it must not suspect the target.
            health.recordFailure();
            return;
        }
        if (run.relaysAsked === 0) {
            health.recordFailure();
        }
        recordFailedProbe(run.target);
    }

    function probe(target: Member): void {
        const run: ProbeRun = {
            target,
            startedMs: clock.now(),
            epoch,
            isReached: false,
            relaysAsked: 0,
            relaysAnswered: 0,
        };
        dependencies.sendProbe(target, isReached => {
            run.isReached ||= isReached;
        });
        clock.after(directTimeoutMs * health.timeFactor(), () => askRelays(run));
    }

    function tick(): void {
        dependencies.checkPause();
        period += 1;
        cancelTick = clock.after(probePeriodMs, tick);
        const members = dependencies.listPresent();
        const target = order.next(members);
        if (target !== undefined) {
            probe(target);
        }
        if (target === undefined || period <= joinPeriods || period % absentContactPeriods === 0) {
            dependencies.contactAbsent();
        }
    }

    return {
        discardProbes: () => {
            epoch += 1;
            failedProbes.clear();
        },
        stop: () => cancelTick(),
    };
}
