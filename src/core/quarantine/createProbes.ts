/**
 * @module
 * Probes: requests with a suspected part that are let through one at a time, to see whether their engines end. The instance
 * in charge permits them, so that there is one in the whole fleet.
 */
import type { Clock } from "../time/clock.js";
import type { EngineEnd } from "./engineEnd.js";

/** A probe under which an engine ended. */
export interface FailedProbe {
    readonly part: string;
    /** Whether the engine ended before the probe's first event; later it may have ended for another reason. */
    readonly isConclusive: boolean;
}

/** The probes of an instance, and those that it permits. */
export interface Probes {
    /** Returns whether a request may go as a probe; asks the instance in charge if it may not. */
    readonly mayBegin: (part: string, requestId: string) => boolean;
    readonly begin: (requestId: string, part: string) => void;
    /** Records that a request has ended, and must not be sent again as a probe. */
    readonly end: (requestId: string) => void;
    /** Permits a probe of another instance, unless one is in progress. */
    readonly grant: (from: string, part: string) => void;
    readonly applyGrant: (part: string) => void;
    /** Whether a request of this instance is or was a probe lately. */
    readonly isProbe: (requestId: string) => boolean;
    /** Ends the probes that an instance had on an engine which has ended, and returns them. */
    readonly takeFailed: (from: string, end: EngineEnd) => readonly FailedProbe[];
    readonly remove: (part: string) => void;
    readonly clear: () => void;
}

/** Dependencies of {@link createProbes}. */
export interface ProbeDependencies {
    readonly clock: Clock;
    readonly self: string;
    /** Name of the instance in charge. */
    readonly findPermitter: () => string;
    readonly sendRequest: (to: string, part: string) => void;
    readonly sendGrant: (to: string, part: string) => void;
}

/** Time after which a probe without a result makes room for another one, in milliseconds. */
const maxProbeMs = 1_500;

/** Time for which an instance may use a permission, in milliseconds. */
const grantMs = 500;

/** Minimum time between two requests for a permission, in milliseconds. */
const requestIntervalMs = 250;

interface PermittedProbe {
    readonly holder: string;
    readonly sinceMs: number;
}

/** Request ids that are remembered. */
const maxRemembered = 64;

/** Adds an id to a set that forgets its oldest ones. */
function remember(ids: Set<string>, id: string): void {
    ids.add(id);
    const oldest = ids.values().next().value;
    if (ids.size > maxRemembered && oldest !== undefined) {
        ids.delete(oldest);
    }
}

/**
 * Creates probes of which none is in progress.
 *
 * @param deps - The clock and the instance in charge.
 * @returns The probes.
 * @example
 * createProbes(deps).mayBegin("style-7", "r-1");
 */
export function createProbes(deps: ProbeDependencies): Probes {
    const { clock, self } = deps;
    /** Probes that this instance has permitted, by part. */
    const permitted = new Map<string, PermittedProbe>();
    /** This instance's requests that are probes, by part. */
    const own = new Map<string, string>();
    /** This instance's requests that were probes. */
    const ended = new Set<string>();
    /** Requests under which engines ended; reports of them may come twice. */
    const failed = new Set<string>();
    const grantedUntilMs = new Map<string, number>();
    const requestedMs = new Map<string, number>();

    const isOpen = (part: string) => clock.now() - (permitted.get(part)?.sinceMs ?? -Infinity) > maxProbeMs;

    function mayBegin(part: string, requestId: string): boolean {
        if (own.get(part) === requestId) {
            return true;
        }
        const permitter = deps.findPermitter();
        if (permitter === self) {
            return isOpen(part);
        }
        const nowMs = clock.now();
        if (nowMs < (grantedUntilMs.get(part) ?? -Infinity)) {
            return true;
        }
        if (nowMs - (requestedMs.get(part) ?? -Infinity) > requestIntervalMs) {
            requestedMs.set(part, nowMs);
            deps.sendRequest(permitter, part);
        }
        return false;
    }

    function takeFailed(from: string, { requests }: EngineEnd): readonly FailedProbe[] {
        const taken: FailedProbe[] = [];
        for (const [part, { holder }] of permitted) {
            const req = requests.find(one => one.isProbe && one.parts.includes(part) && !failed.has(one.id));
            if (holder === from && req !== undefined) {
                remember(failed, req.id);
                permitted.delete(part);
                taken.push({ part, isConclusive: !req.hasEvents });
            }
        }
        return taken;
    }

    return {
        mayBegin,
        begin: (requestId, part) => {
            own.set(part, requestId);
            grantedUntilMs.delete(part);
            if (deps.findPermitter() === self) {
                permitted.set(part, { holder: self, sinceMs: clock.now() });
            }
        },
        end: requestId => {
            for (const [part, probe] of own) {
                if (probe === requestId) {
                    own.delete(part);
                    remember(ended, requestId);
                }
            }
        },
        grant: (from, part) => {
            if (deps.findPermitter() === self && isOpen(part)) {
                permitted.set(part, { holder: from, sinceMs: clock.now() });
                deps.sendGrant(from, part);
            }
        },
        applyGrant: part => {
            grantedUntilMs.set(part, clock.now() + grantMs);
        },
        isProbe: requestId => ended.has(requestId) || [...own.values()].includes(requestId),
        takeFailed,
        remove: part => {
            [permitted, own, grantedUntilMs, requestedMs].forEach(map => map.delete(part));
        },
        clear: () => {
            [permitted, own, grantedUntilMs, requestedMs].forEach(map => map.clear());
        },
    };
}
