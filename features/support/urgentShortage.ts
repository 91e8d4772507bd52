/**
 * @module
 * Plays urgent requests that nearly fill the upstreams beside patient ones that always wait.
 */
import { createPlacerFixture } from "../../bench/support/placerFixtures.js";
import { createProxyRequest, createRecord, createRoute } from "../../bench/support/proxyFixtures.js";
import { createVirtualClock } from "../../fakes/createVirtualClock.js";

const upstreams = ["u-1", "u-2", "u-3"];
const slots = 4;
const holdMs = 200;
const urgentPerSecond = 58;
const untilMs = 10_000;

/** What came of the urgent requests. */
export interface UrgentShortage {
    readonly refused: number;
    /** Samples, and those in which an urgent request waited beside an idle slot. */
    readonly sampled: number;
    readonly idle: number;
}

/** Plays the load with as many waiting patient requests. */
export function playUrgentShortage(patientCount: number): UrgentShortage {
    const clock = createVirtualClock(7);
    const { random } = createVirtualClock(99);
    const { registry, placer } = createPlacerFixture(clock, []);
    registry.applyList(upstreams.map(id => createRecord({ id, service: "plain", slots })), 0);
    const result = { refused: 0, sampled: 0, idle: 0 };
    const waiting = { urgent: 0, patient: 0 };
    let running = 0;

    function start(kind: "urgent" | "patient"): void {
        const isUrgent = kind === "urgent";
        const [priority, targetLatencyMs, timeoutMs] = isUrgent ? [0, 1_500, 6_000] : [5, 30_000, 120_000];
        const times = { arrivedMs: clock.now(), deadlineMs: clock.now() + timeoutMs };
        const req = {
            ...createProxyRequest("idempotent", { id: `r-${random()}`, priority, ...times }),
            service: "plain",
            route: createRoute({ targetLatencyMs, priority, timeoutMs }),
        };
        waiting[kind] += 1;
        placer.place(req, { kind: "place", excluded: [] }, ({ kind: outcome }) => {
            waiting[kind] -= 1;
            if (outcome !== "placed") {
                result.refused += isUrgent ? 1 : 0;
                return;
            }
            running += 1;
            clock.after(holdMs, () => {
                running -= 1;
                placer.end(req);
            });
        });
    }

    function repeat(everyMs: () => number, act: () => void): void {
        clock.after(everyMs(), () => {
            if (clock.now() < untilMs) {
                act();
                repeat(everyMs, act);
            }
        });
    }

    repeat(() => -Math.log(1 - random()) * 1_000 / urgentPerSecond, () => start("urgent"));
    repeat(() => 50, () => {
        while (waiting.patient < patientCount) {
            start("patient");
        }
    });
    repeat(() => 5, () => {
        result.sampled += 1;
        result.idle += waiting.urgent > 0 && running < upstreams.length * slots ? 1 : 0;
    });
    clock.runUntil(untilMs + 6_000);
    return result;
}
