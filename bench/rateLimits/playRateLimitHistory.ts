/**
 * @module
 * Plays one history: callers at several instances before upstreams that state rate limits.
 */
import { createVirtualClock } from "../../fakes/createVirtualClock.js";
import { createModelFleet } from "../support/createModelFleet.js";
import { createFleetNetwork } from "./createFleetNetwork.js";
import { createLimitedUpstreams, upstreamId, upstreamRequestsPerSecond } from "./createLimitedUpstreams.js";
import { createLimitInstance, type LimitInstance } from "./createLimitInstance.js";
import { drawPhases } from "./drawRateLimitPlan.js";
import {
    type Arrival,
    type CallerRequest,
    type DeliveredHead,
    type HistoryPlan,
    historyTimes,
    type RateLimitHistory,
} from "./rateLimitTypes.js";

const restartDelaysMs = [200, 2_000] as const;
const freezeDurationsMs = [300, 4_000] as const;
const cutDurationsMs = [500, 6_000] as const;

/** Messages that are lost when an instance is cut or its links are harmed. */
const lossShares = [0.3, 0.6, 1] as const;

/** Prompt parts that requests share. */
const sharedParts = 40;

const millisecondsPerSecond = 1_000;

function countLimited({ limitedShare, upstreams }: HistoryPlan): number {
    switch (limitedShare) {
        case "one":
            return 1;
        case "third":
            return Math.ceil(upstreams / 3);
        case "all":
            return upstreams;
    }
}

/** Plays a history to its end. */
export function playRateLimitHistory(plan: HistoryPlan): RateLimitHistory {
    const clock = createVirtualClock(plan.seed);
    const { random } = clock;
    const between = ([from, to]: readonly [number, number]) => from + random() * (to - from);
    const arrivals: Arrival[] = [];
    const heads: DeliveredHead[] = [];
    const requests: CallerRequest[] = [];
    const limited = Array.from({ length: countLimited(plan) }, (_, index) => upstreamId(index));
    const phases = new Map(limited.map(id => [id, drawPhases(plan, random)]));
    const upstreams = createLimitedUpstreams(clock, { count: plan.upstreams, phases, hasOldHeads: plan.hasOldHeads });
    const names = Array.from({ length: plan.instances }, (_, index) => `entry-${index}`);
    const network = createFleetNetwork(clock, { ...plan, names });

    function createInstance(name: string): LimitInstance {
        return createLimitInstance(clock, {
            name,
            upstreams,
            network,
            countInstances: () => plan.instances,
            onArrival: (instance, upstream) => arrivals.push({ atMs: clock.now(), instance, upstream }),
            onHead: (instance, upstream, head) => heads.push({ atMs: clock.now(), instance, upstream, ...head }),
        });
    }

    const fleet = createModelFleet(clock, { names, create: createInstance, restartDelaysMs, freezeDurationsMs });
    const { instances, drawIndex } = fleet;

    function call(): void {
        const instance = instances[drawIndex()];
        if (instance === undefined) {
            return;
        }
        const req: CallerRequest = {
            atMs: clock.now(),
            endedMs: undefined,
            result: undefined,
            retryAfterMs: undefined,
        };
        requests.push(req);
        instance.serve({
            id: `r-${requests.length}`,
            sharedPart: `shared-${Math.floor(random() ** 2 * sharedParts)}`,
            onEnd: (result, retryAfterMs) => {
                Object.assign(req, { endedMs: clock.now(), result, retryAfterMs });
            },
        });
    }

    function arriveNext(): void {
        call();
        const requestsPerSecond = plan.upstreams * upstreamRequestsPerSecond * plan.load;
        clock.after(-Math.log(1 - random()) * millisecondsPerSecond / requestsPerSecond, arriveNext);
    }

    function cut(): void {
        const index = drawIndex();
        const name = names[index]!;
        const durationMs = between(cutDurationsMs);
        const loss = lossShares[Math.floor(random() * lossShares.length)]!;
        network.setLoss(name, loss);
        instances[index]?.setCut(loss === 1 && random() < 0.5);
        fleet.record({ instance: name, fromMs: clock.now(), toMs: clock.now() + durationMs });
        clock.after(durationMs, () => {
            network.setLoss(name, 0);
            instances[index]?.setCut(false);
        });
    }

    const { trafficMs, endMs } = historyTimes;
    const schedule = (times: number, action: () => void) =>
        Array.from({ length: times }, () => clock.after(between([trafficMs, endMs]), action));
    schedule(plan.restarts, fleet.restart);
    schedule(plan.freezes, fleet.freeze);
    schedule(plan.cuts, cut);
    clock.after(trafficMs, arriveNext);
    clock.runUntil(endMs);
    return {
        plan,
        phases,
        arrivals,
        heads,
        disturbances: fleet.disturbances,
        requests,
        messages: network.countMessages(),
        messageBytes: network.countBytes(),
    };
}
