/**
 * @module
 * Plays the relay of statements between instances on the virtual clock, without the rest of their heartbeats.
 */
import { createVirtualClock } from "../../fakes/createVirtualClock.js";
import { millisecondsPerSecond } from "../../src/core/constants.js";
import { planHeartbeats } from "../../src/core/fleet/planHeartbeats.js";
import { createLoadExchange } from "../../src/core/load/createLoadExchange.js";
import { createUpstreamLoads } from "../../src/core/load/createUpstreamLoads.js";

/** One play. */
export interface RelayPlan {
    readonly seed: number;
    readonly instances: number;
    readonly upstreams: number;
    /** Answers of each upstream a second, each to a random instance. */
    readonly answersPerSecond: number;
    readonly lossShare: number;
    readonly durationMs: number;
}

/** What instances know at the end. */
export interface RelayResult {
    /** Ages of the known statements, the youngest first, in milliseconds. */
    readonly agesMs: readonly number[];
    /** Share of the upstreams of which a statement is known. */
    readonly knownShare: number;
    readonly longestText: number;
    /** Longest text that the plan of heartbeats allows. */
    readonly allowedText: number;
    /** Bytes of the loads that an instance sends. */
    readonly bytesPerSecond: number;
}

const latencyMs = 3;
const slots = 24;

/** Plays the plan. */
export function playRelay(plan: RelayPlan): RelayResult {
    const clock = createVirtualClock(plan.seed);
    const { fanOut, intervalMs, loadBytes } = planHeartbeats(plan.instances - 1);
    const upstreams = Array.from({ length: plan.upstreams }, (_, index) => ({ id: `u-${index}`, startedAtMs: 1 }));
    const instances = Array.from({ length: plan.instances }, () => {
        const loads = createUpstreamLoads(() => ({ service: "plain", slots }));
        const lists = { listUpstreams: () => upstreams, digestUpstreams: () => "1" };
        return { loads, exchange: createLoadExchange({ loads, ...lists }) };
    });
    const pick = () => instances[Math.floor(clock.random() * instances.length)]!;
    let longestText = 0;
    let sentBytes = 0;

    function send({ exchange }: (typeof instances)[number]): void {
        const text = exchange.describe(loadBytes, clock.now());
        longestText = Math.max(longestText, text.length);
        sentBytes += text.length * fanOut;
        for (let target = 0; target < fanOut; target += 1) {
            const receiver = pick();
            if (clock.random() >= plan.lossShare) {
                clock.after(latencyMs, () => receiver.exchange.receive(text, clock.now()));
            }
        }
    }

    function repeat(meanMs: number, action: () => void): void {
        clock.after(meanMs * 2 * clock.random(), () => {
            action();
            repeat(meanMs, action);
        });
    }

    instances.forEach(instance => repeat(intervalMs, () => send(instance)));
    upstreams.forEach(({ id }) =>
        repeat(millisecondsPerSecond / plan.answersPerSecond, () => {
            const timing = { sentMs: clock.now(), receivedMs: clock.now(), isTimed: false, isRejected: false };
            pick().loads.recordAnswer(id, { running: 1, waiting: 0, slots, pace: 1 }, timing);
        })
    );
    clock.runUntil(plan.durationMs);
    const agesMs = instances.flatMap(({ loads }) => loads.listStatements().map(one => clock.now() - one.atMs))
        .toSorted((left, right) => left - right);
    return {
        agesMs,
        knownShare: agesMs.length / (plan.instances * plan.upstreams),
        longestText,
        allowedText: loadBytes,
        bytesPerSecond: sentBytes * millisecondsPerSecond / plan.durationMs / plan.instances,
    };
}
