/**
 * @module
 * Places only requests that the guard of prompt parts admits. It refuses those with a part that is held, at once, also while
 * they wait for capacity, and lets those with a contained part wait for the result of the one that was let through.
 */
import { createRefusal, type Refusal } from "../errors/createRefusal.js";
import { listSharedParts } from "../placement/_lib/listSharedParts.js";
import type { Placer } from "../placement/createPlacer.js";
import { computeCallerDeadlines } from "../proxy/computeCallerDeadlines.js";
import type { PlacementQuery, PlaceResult } from "../proxy/proxyEffects.js";
import type { ProxyRequest } from "../proxy/proxyTypes.js";
import type { CancelTimer, Clock } from "../time/clock.js";
import type { PartGuard } from "./partGuardTypes.js";

/** A placer that asks the guard. */
export interface GuardedPlacer extends Placer {
    /** Applies changes of the quarantine to the requests that wait. */
    readonly recheckGuard: () => void;
}

interface PendingPlacement {
    readonly req: ProxyRequest;
    readonly effect: PlacementQuery;
    readonly parts: readonly string[];
    readonly onResult: (result: PlaceResult) => void;
    isParked: boolean;
    isDone: boolean;
    cancel: CancelTimer;
}

/** Fraction of the time until the caller's timeout for which a request may wait for the result of another one. */
const maxWaitFraction = 0.6;

/** Delay after which a refused caller may find the result, in milliseconds. */
const retryAfterMs = 500;

/** Interval at which waiting requests are checked again, in milliseconds. */
const recheckIntervalMs = 100;

function refuseHeld(part: string): Refusal {
    return createRefusal("promptQuarantined", `part ${part} of the prompt has ended engines`);
}

/**
 * Wraps a placer.
 *
 * @param placer - The placer.
 * @param guard - The guard.
 * @param clock - The clock.
 * @returns The wrapped placer.
 * @example
 * createGuardedPlacer(placer, guard, clock).place(req, effect, result => resume(result));
 */
export function createGuardedPlacer(
    placer: Placer,
    guard: Pick<PartGuard, "admit" | "beginProbe">,
    clock: Clock,
): GuardedPlacer {
    const pending = new Set<PendingPlacement>();
    let cancelRecheck: CancelTimer | undefined;

    function finish(one: PendingPlacement, result: PlaceResult): void {
        if (!one.isDone) {
            one.isDone = true;
            one.cancel();
            pending.delete(one);
            one.onResult(result);
        }
    }

    function park(one: PendingPlacement): void {
        const { arrivedMs } = one.req;
        const patienceMs = (computeCallerDeadlines(one.req).disconnectMs - arrivedMs) * maxWaitFraction;
        const detail = "another request is to show whether a part of the prompt ends engines";
        const refusal = createRefusal("overloaded", detail, { retryAfterMs });
        one.isParked = true;
        one.cancel = clock.after(
            arrivedMs + patienceMs - clock.now(),
            () => finish(one, { kind: "refused", refusal }),
        );
        cancelRecheck ??= clock.after(recheckIntervalMs, recheckParked);
    }

    function recheckParked(): void {
        cancelRecheck = undefined;
        recheck();
        if ([...pending].some(one => one.isParked)) {
            cancelRecheck ??= clock.after(recheckIntervalMs, recheckParked);
        }
    }

    /** Refuses or parks a request that is not admitted; returns false when it is. */
    function stop(one: PendingPlacement): boolean {
        const admission = guard.admit(one.req.id, one.parts);
        if (admission.kind === "held") {
            finish(one, { kind: "refused", refusal: refuseHeld(admission.part) });
        }
        else if (admission.kind === "wait") {
            park(one);
        }
        return admission.kind === "held" || admission.kind === "wait";
    }

    function settle(one: PendingPlacement, result: PlaceResult): void {
        if (result.kind !== "placed") {
            finish(one, result);
            return;
        }
        const admission = guard.admit(one.req.id, one.parts);
        if (admission.kind === "held" || admission.kind === "wait") {
            placer.end(one.req);
            stop(one);
            return;
        }
        if (admission.kind === "probe") {
            guard.beginProbe(one.req.id, one.parts);
        }
        finish(one, result);
    }

    function start(one: PendingPlacement): void {
        if (stop(one)) {
            return;
        }
        one.isParked = false;
        let isPlacing = true;
        const cancel = placer.place(one.req, one.effect, result => {
            isPlacing = false;
            settle(one, result);
        });
        if (isPlacing) {
            one.cancel = cancel;
        }
    }

    function recheck(): void {
        for (const one of [...pending]) {
            const { kind } = guard.admit(one.req.id, one.parts);
            const isAdmitted = kind === "free" || kind === "probe";
            if (!one.isDone && (isAdmitted === one.isParked || kind === "held")) {
                one.cancel();
                start(one);
            }
        }
    }

    return {
        ...placer,
        place: (req, effect, onResult) => {
            const parts = req.prompt === undefined ? [] : listSharedParts(req.prompt).map(part => part.id);
            if (parts.length === 0) {
                return placer.place(req, effect, onResult);
            }
            const one: PendingPlacement = {
                req,
                effect,
                parts,
                onResult,
                isParked: false,
                isDone: false,
                cancel: () => undefined,
            };
            pending.add(one);
            start(one);
            return () => {
                one.isDone = true;
                one.cancel();
                pending.delete(one);
            };
        },
        countWaiting: () => placer.countWaiting() + [...pending].filter(one => one.isParked).length,
        recheckGuard: recheck,
    };
}
