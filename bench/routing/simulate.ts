/**
 * @module
 * Runs one policy over one workload on the virtual clock.
 */
import { createVirtualClock } from "../../fakes/createVirtualClock.js";
import type { Clock } from "../../src/core/time/clock.js";
import type { PolicyContext } from "./createBaseline.js";
import { createEngineModel, type EngineModel } from "./createEngineModel.js";
import { createResultMeter } from "./createResultMeter.js";
import type { PolicyResult, RunPlan, SimHead, SimPolicy, SimRequest, SiteShape } from "./simTypes.js";

/** Interval at which each daemon reads loads and cache events, in milliseconds. */
const pollIntervalMs = 1000;

/** Time until a crashed engine restarts, in milliseconds. */
const crashDurationMs = 2000;

/** Limit on the upstreams tried for one request. */
const maxAttempts = 4;

/** Time for which the simulation runs on after the last arrivals, so that their answers complete, in milliseconds. */
const drainMs = 30_000;

function startPolling(
    clock: Clock,
    plan: RunPlan,
    shape: SiteShape,
    engines: readonly EngineModel[],
    policy: SimPolicy,
) {
    function poll(daemon: number): void {
        engines.forEach((engine, index) => {
            if (!engine.isUp()) {
                return;
            }
            policy.onReport?.(daemon, index, engine.readLoad());
            const from = policy.nextSequence?.(daemon, index);
            if (from !== undefined) {
                policy.onEvents?.(daemon, index, engine.readEvents(from));
            }
        });
        if (clock.now() < plan.endMs) {
            clock.after(pollIntervalMs, () => poll(daemon));
        }
    }
    for (let daemon = 0; daemon < shape.daemons; daemon += 1) {
        clock.after((daemon * pollIntervalMs) / shape.daemons, () => poll(daemon));
    }
}

function scheduleFault(
    clock: Clock,
    plan: RunPlan,
    shape: SiteShape,
    engines: readonly EngineModel[],
    policy: SimPolicy,
) {
    clock.after(plan.faultMs, () => {
        if (plan.fault === "crash") {
            engines[0]!.crash(crashDurationMs);
        }
        else if (plan.fault === "domainGone") {
            engines.filter((_, index) => index % shape.failureDomains === 0).forEach(engine => engine.crash(undefined));
        }
        else if (plan.fault === "herdRestart") {
            for (let daemon = 1; daemon < shape.daemons; daemon += 1) {
                policy.restart?.(daemon, 0);
            }
        }
    });
}

/** Simulates a policy and returns its metrics. */
export function simulate(
    shape: SiteShape,
    plan: RunPlan,
    workload: readonly SimRequest[],
    createPolicy: (context: PolicyContext, clock: Clock) => SimPolicy,
): PolicyResult {
    const clock = createVirtualClock(plan.seed);
    const engineIds = Array.from({ length: shape.engines }, (_, index) => `engine-${index + 1}`);
    const engines = engineIds.map(id => createEngineModel(id, shape, plan, clock));
    const policy = createPolicy({ shape, engines, engineIds, random: clock.random }, clock);
    const meter = createResultMeter(plan);

    function attempt(request: SimRequest, excluded: ReadonlySet<string>): void {
        if (excluded.size >= maxAttempts) {
            meter.recordFailure(request);
            return;
        }
        const index = policy.choose(request, excluded);
        let hasBegun = false;
        function fail(): void {
            policy.onEnd?.(request, index);
            if (!hasBegun) {
                attempt(request, new Set([...excluded, engineIds[index]!]));
            }
        }
        function begin(head: SimHead, computed: readonly number[]): void {
            hasBegun = true;
            policy.onHead?.(request, index, head);
            meter.recordHead(request, head, computed, clock.now() - request.atMs);
        }
        clock.after(shape.networkMs, () =>
            engines[index]!.submit(request, {
                onHead: (head, computed) => clock.after(shape.networkMs, () => begin(head, computed)),
                onComplete: () => clock.after(shape.networkMs, () => policy.onEnd?.(request, index)),
                onFail: () => clock.after(shape.networkMs, fail),
            }));
    }

    let next = 0;
    function arrive(): void {
        attempt(workload[next]!, workload[next]!.req.excluded);
        next += 1;
        if (next < workload.length) {
            clock.after(workload[next]!.atMs - clock.now(), arrive);
        }
    }
    clock.after(workload[0]!.atMs, arrive);
    startPolling(clock, plan, shape, engines, policy);
    scheduleFault(clock, plan, shape, engines, policy);
    clock.runUntil(plan.endMs + drainMs);
    return meter.finish(engines.map(engine => engine.occupancyMs()));
}
