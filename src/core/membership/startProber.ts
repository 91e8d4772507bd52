/**
 * @module
 * Probes one member a period, through relays when it is silent, and judges the result.
 */
import type { CancelTimer, Clock } from "../time/clock.js";
import { chooseRelays } from "./chooseRelays.js";
import type { LocalHealth } from "./createLocalHealth.js";
import { createProbeOrder } from "./createProbeOrder.js";
import type { Member } from "./memberTypes.js";
import type { RelayAnswer } from "./peerMessages.js";

/** Period in which one member is probed, in milliseconds. */
export const probePeriodMs = 1_000;

/** Time for a direct answer before relays are asked, in milliseconds. */
export const directTimeoutMs = 400;

/** What the prober needs. */
export interface ProberDependencies {
    readonly clock: Clock;
    readonly random: () => number;
    readonly health: LocalHealth;
    readonly listPresent: () => readonly Member[];
    /** Sends a probe; `onAnswer` tells whether the right instance answered. */
    readonly sendProbe: (target: Member, onAnswer: (isReached: boolean) => void) => void;
    readonly sendRelay: (
        relay: Member,
        target: Member,
        onAnswer: (answer: RelayAnswer | undefined) => void,
    ) => void;
    /** Clock time at which a member was last heard of by a message of its own. */
    readonly lastHeardMs: (instance: string) => number | undefined;
    /** Clock times at which a member contradicted suspicions lately. */
    readonly countRefutations: (instance: string) => number;
    readonly accuse: (target: Member) => void;
    /** Runs at the start of each period and of each late judgement. */
    readonly checkPause: () => void;
    /** Contacts an address that no present member has, if there is one. */
    readonly contactAbsent: () => void;
}

/** The running prober. */
export interface Prober {
    /** Drops all probes under way without a verdict. */
    readonly dropVerdicts: () => void;
    readonly stop: () => void;
}

const relayCount = 3;

/** Periods between two contacts with addresses that no present member has. */
const absentContactPeriods = 5;

/** Periods after the start in each of which such an address is contacted. */
const joinPeriods = 10;

/** Failed probes that an accusation needs at the most, for a member that often contradicts suspicions. */
const maxStrikes = 4;

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
 * @param dependencies - The clock, the members and the sends.
 * @returns The running prober.
 * @example
 * const prober = startProber(dependencies);
 */
export function startProber(dependencies: ProberDependencies): Prober {
    const { clock, health, random } = dependencies;
    const order = createProbeOrder(random);
    const strikes = new Map<string, number>();
    let epoch = 0;
    let period = 0;
    let cancelTick: CancelTimer = clock.after(random() * probePeriodMs, tick);

    function askRelays(run: ProbeRun): void {
        dependencies.checkPause();
        if (run.epoch !== epoch) {
            return;
        }
        clock.after((probePeriodMs - directTimeoutMs) * health.timeFactor(), () => judge(run));
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

    function addStrike(target: Member): void {
        const count = (strikes.get(target.instance) ?? 0) + 1;
        const needed = Math.min(maxStrikes, 1 + dependencies.countRefutations(target.instance));
        if (count >= needed) {
            strikes.delete(target.instance);
            dependencies.accuse(target);
            return;
        }
        strikes.set(target.instance, count);
        order.prefer(target.instance);
    }

    function judge(run: ProbeRun): void {
        dependencies.checkPause();
        if (run.epoch !== epoch) {
            return;
        }
        if (run.isReached) {
            strikes.delete(run.target.instance);
            health.noteSuccess();
            return;
        }
        if ((dependencies.lastHeardMs(run.target.instance) ?? -1) >= run.startedMs) {
            return;
        }
        if (run.relaysAsked > 0 && run.relaysAnswered === 0) {
            // No relay answers: the fault may lie with this instance, which must not accuse then.
            health.noteFailure();
            return;
        }
        if (run.relaysAsked === 0) {
            health.noteFailure();
        }
        addStrike(run.target);
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
        dropVerdicts: () => {
            epoch += 1;
            strikes.clear();
        },
        stop: () => cancelTick(),
    };
}
