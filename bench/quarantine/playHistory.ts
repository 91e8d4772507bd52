/**
 * @module
 * Plays one history: callers at several instances before engines that end.
 */
import { createVirtualClock, type VirtualClock } from "../../fakes/createVirtualClock.js";
import { heartbeatIntervalMs, planHeartbeats } from "../../src/core/fleet/planHeartbeats.js";
import { createModelFleet } from "../support/createModelFleet.js";
import { drawTransitMs } from "../support/drawTransitMs.js";
import { createEngineFleetModel, type EngineFleetModel } from "./createEngineFleetModel.js";
import { createPromptSource, type PromptSource } from "./createPromptSource.js";
import { createRouterModel, type RouterModel } from "./createRouterModel.js";
import {
    type CallerAttempt,
    type EngineArrival,
    type HarmfulEnd,
    type HistoryPlan,
    historyTimes,
    type PartPosition,
    type QuarantineHistory,
    type RecordedChange,
} from "./quarantineTypes.js";

/** Delays until instances learn that an engine has started or ended, in milliseconds. */
const startDelaysMs = [100, 900] as const;
const endDelaysMs = [2_300, 3_600] as const;

const restartDelaysMs = [200, 1_000] as const;
const freezeDurationsMs = [600, 3_000] as const;

/** Time after which an instance without heartbeats does not count as live, in milliseconds. */
const heartbeatTimeoutMs = planHeartbeats(0).timeoutMs;

/** Delay after which a caller tries again, in milliseconds. */
const callerRetryMs = 100;

const millisecondsPerSecond = 1_000;

/** Plays a history to its end. */
export function playHistory(plan: HistoryPlan): QuarantineHistory {
    const clock = createVirtualClock(plan.seed);
    const { random } = clock;
    const between = ([from, to]: readonly [number, number]) => from + random() * (to - from);
    const arrivals: EngineArrival[] = [];
    const ends: HarmfulEnd[] = [];
    const attempts: CallerAttempt[] = [];
    const changes: RecordedChange[] = [];
    const harmfulIds = new Set(plan.harmfulParts.map(part => part.id));
    const prompts = createPromptSource(clock);
    const heartbeatMs = new Map<string, number>();
    let lostAnswers = 0;
    let requests = 0;

    const engines: EngineFleetModel = createEngineFleetModel(clock, {
        engines: plan.engines,
        slots: plan.slots,
        keepsIds: plan.keepsIds,
        isHarmful: part => harmfulIds.has(part),
        onHarmfulEnd: part => ends.push({ atMs: clock.now(), part }),
        lostAnswers: () => lostAnswers,
        onChange: (record, isStarted) => {
            const range = isStarted ? startDelaysMs : endDelaysMs;
            routers.forEach((_, index) =>
                clock.after(between(range), () => routers[index]?.applyChange(record, isStarted))
            );
        },
    });

    /** Whether heartbeats of an instance have arrived lately. */
    function isLive({ name }: RouterModel): boolean {
        return clock.now() - (heartbeatMs.get(name) ?? 0) < heartbeatTimeoutMs;
    }

    function createRouter(name: string): RouterModel {
        heartbeatMs.set(name, clock.now());
        return createRouterModel(clock, {
            name,
            engines,
            countInstances: () => plan.instances,
            listOthers: () =>
                routers.flatMap(one => (one === undefined || one.name === name || !isLive(one) ? [] : [one.name])),
            send: (from, names, message) => {
                for (const to of names) {
                    if (random() >= plan.messageLoss) {
                        clock.after(drawTransitMs(random), () => findRouter(to)?.receive(from, message));
                    }
                }
            },
            onChange: (instance, change, isHeld) => changes.push({ ...change, atMs: clock.now(), instance, isHeld }),
            onArrival: (instance, parts) => arrivals.push({ atMs: clock.now(), instance, parts }),
        });
    }

    const names = Array.from({ length: plan.instances }, (_, index) => `entry-${index}`);
    const fleet = createModelFleet(clock, { names, create: createRouter, restartDelaysMs, freezeDurationsMs });
    const routers: readonly (RouterModel | undefined)[] = fleet.instances;

    const findRouter = (name: string) => routers.find(router => router?.name === name);

    function sendHeartbeats(): void {
        for (const router of routers) {
            const heartbeat = router?.isFrozen() === false ? router.describe() : undefined;
            if (router !== undefined && heartbeat !== undefined) {
                heartbeatMs.set(router.name, clock.now());
            }
            for (const other of routers) {
                if (router === undefined || heartbeat === undefined || other === undefined || other === router) {
                    continue;
                }
                if (random() >= plan.messageLoss) {
                    clock.after(drawTransitMs(random), () => other.applyHeartbeat(router.name, heartbeat));
                }
            }
        }
        clock.after(heartbeatIntervalMs, sendHeartbeats);
    }

    function call(parts: readonly string[], isFirst: boolean): void {
        const router = routers[Math.floor(random() * routers.length)];
        if (router === undefined) {
            return;
        }
        requests += 1;
        const attempt: CallerAttempt = {
            atMs: clock.now(),
            instance: router.name,
            parts,
            isFirst,
            hasBegun: false,
        };
        attempts.push(attempt);
        router.serve({
            id: `r-${requests}`,
            parts,
            onBegin: () => {
                attempt.hasBegun = true;
            },
            onEnd: isAnswered => {
                if (!isAnswered && isFirst) {
                    clock.after(callerRetryMs, () => call(parts, false));
                }
            },
        });
    }

    function drawParts(): readonly string[] {
        const parts = prompts.draw();
        const nowMs = clock.now();
        if (nowMs < historyTimes.troubleMs || nowMs > historyTimes.troubleEndMs) {
            return parts;
        }
        let left = random();
        for (const { id, position, share } of plan.harmfulParts) {
            left -= share;
            if (left < 0) {
                return prompts.put(parts, id, position);
            }
        }
        return parts;
    }

    function arriveNext(): void {
        call(drawParts(), true);
        const meanMs = millisecondsPerSecond / plan.requestsPerSecond;
        clock.after(-Math.log(1 - random()) * meanMs, arriveNext);
    }

    const drawTroubleMs = () => between([historyTimes.troubleMs, historyTimes.troubleEndMs]);
    Array.from({ length: plan.restarts }, () => clock.after(drawTroubleMs(), fleet.restart));
    Array.from({ length: plan.freezes }, () => clock.after(drawTroubleMs(), fleet.freeze));
    scheduleTrouble(plan, clock, engines, prompts, share => {
        lostAnswers = share;
    });
    sendHeartbeats();
    arriveNext();
    clock.runUntil(historyTimes.endMs);
    return {
        plan,
        arrivals,
        ends,
        attempts,
        disturbances: fleet.disturbances,
        changes,
        endedEngines: engines.countEnds(),
    };
}

/** Schedules ends of engines, and of connections, that have nothing to do with prompts. */
function scheduleTrouble(
    plan: HistoryPlan,
    clock: VirtualClock,
    engines: EngineFleetModel,
    prompts: PromptSource,
    setLostAnswers: (share: number) => void,
): void {
    const { random } = clock;
    const { troubleMs, troubleEndMs } = historyTimes;
    const at = (fromMs: number, action: () => void) => clock.after(troubleMs + fromMs, action);
    const shuffled = () => [...engines.list()].sort(() => random() - 0.5).map(record => record.address);
    const endSome = (share: number) =>
        shuffled().slice(0, Math.max(1, Math.ceil(plan.engines * share))).forEach(engines.end);
    const repeat = (times: number, gapMs: number, action: () => void) =>
        Array.from({ length: times }, (_, index) => at(index * gapMs, action));
    const positions: readonly PartPosition[] = ["first", "middle", "lastShared"];

    switch (plan.trouble) {
        case "singleEnds":
            repeat(20, 100 + random() * 900, () => shuffled().slice(0, 1).forEach(engines.end));
            break;
        case "someEndAtOnce":
            repeat(6, 500 + random() * 1_500, () => endSome(0.15));
            break;
        case "allEndAtOnce":
            at(random() * 1_000, () => endSome(1));
            break;
        case "allEndRepeatedly":
            repeat(4, 2_000 + random() * 1_500, () => endSome(1));
            break;
        case "rollingEnds":
            repeat(60, 40 + random() * 200, () => shuffled().slice(0, 1).forEach(engines.end));
            break;
        case "lostAnswers":
            at(0, () => setLostAnswers(0.1 + random() * 0.4));
            clock.after(troubleEndMs, () => setLostAnswers(0));
            break;
        case "resetConnections":
            repeat(20, 300, () => engines.resetConnections(0.5));
            break;
        case "endsInBurstOfNewPart": {
            const burst = { id: "new", position: positions[Math.floor(random() * 3)]!, share: 0.2 + random() * 0.7 };
            at(0, () => prompts.startBurst(burst));
            repeat(1 + Math.floor(random() * 4), 50 + random() * 500, () => endSome(random()));
            break;
        }
        case undefined:
            break;
    }
}
