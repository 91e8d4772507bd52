/**
 * @module
 * Permits for upstreams that state a rate limit for all instances together. Each such upstream has one owner among the instances,
 * whose token bucket counts for the whole fleet; the others ask it for permits and send nothing without one.
 */
import { millisecondsPerSecond } from "../constants.js";
import type { Clock } from "../time/clock.js";
import { createOwnershipView } from "./createOwnershipView.js";
import { createPermitHolder, type TakeResult } from "./createPermitHolder.js";
import { createPermitIssuer } from "./createPermitIssuer.js";
import type { PermitGrantItem, PermitMessage } from "./permitMessage.js";
import { permitTermMs } from "./permitTimes.js";

/** The rate limits of upstreams, as placement reads them. */
export interface UpstreamRateLimits {
    readonly isLimited: (upstream: string) => boolean;
    /** Takes a permit for one send, or asks for one if `mayAsk`. */
    readonly take: (upstream: string, mayAsk: boolean) => TakeResult;
    /**
     * Predicts the time until a request gets a permit of any of the upstreams, after `ahead` others; undefined when one of the
     * upstreams is not limited, or when nothing is known yet.
     */
    readonly predictWaitMs: (upstreams: readonly string[], ahead: number) => number | undefined;
}

/** Permits of this instance, and those that it issues. */
export interface UpstreamPermits extends UpstreamRateLimits {
    readonly receive: (from: string, message: PermitMessage) => void;
    /** Takes note of the instances that may issue permits, and of upstreams that are gone; called often. */
    readonly update: () => void;
    readonly findOwner: (upstream: string) => string | undefined;
    /** Applies a lower limit to permits that are held. */
    readonly drop: (upstream: string) => void;
    /** Forgets permits and ownership, after a pause of the process. */
    readonly clear: () => void;
}

/** Dependencies of {@link createUpstreamPermits}. */
export interface UpstreamPermitsDependencies {
    readonly clock: Clock;
    readonly self: string;
    /** Names of the instances that serve and do not leave. */
    readonly listCandidates: () => readonly string[];
    /** Longest time for which the instances' views of the fleet differ, in milliseconds. */
    readonly viewTimeoutMs: () => number;
    /** Whether the fleet is so small that all instances hear from each other directly. */
    readonly isFleetDirect: () => boolean;
    readonly findRate: (upstream: string) => number | undefined;
    /** Whether an upstream is in the list. */
    readonly isKnown: (upstream: string) => boolean;
    readonly send: (to: string, message: PermitMessage) => void;
    readonly onGranted: (permits: number) => void;
    /** Called when requests that wait may find a permit. */
    readonly onChange: () => void;
}

/** Upstreams that an instance asks for in a second at most, in a small fleet, and in one whose heartbeats fill its bandwidth. */
const maxDirectAsksPerSecond = 30;
const maxAsksPerSecond = 6;

/**
 * Creates the permits of an instance.
 *
 * @param deps - The other instances and the limits.
 * @returns The permits.
 * @example
 * createUpstreamPermits(deps).take("engine-1", true); // "asked"
 */
export function createUpstreamPermits(deps: UpstreamPermitsDependencies): UpstreamPermits {
    const { clock, self, findRate } = deps;
    /** A permit that an earlier owner has granted may be used until the end of its term. */
    const holdOffMs = () => deps.viewTimeoutMs() + permitTermMs;
    const ownership = createOwnershipView({
        now: clock.now,
        self,
        listCandidates: deps.listCandidates,
        holdOffMs,
    });
    /** Grants that are sent together, by receiver and sequence. */
    const unsent = new Map<
        string,
        { readonly to: string; readonly sequence: number; readonly items: PermitGrantItem[]; }
    >();

    function flushGrants(): void {
        const grants = [...unsent.values()];
        unsent.clear();
        for (const { to, sequence, items } of grants) {
            deps.send(to, { permits: { kind: "grant", sequence, items } });
        }
    }

    function sendGrant(to: string, sequence: number, items: readonly PermitGrantItem[]): void {
        if (to === self) {
            holder.receiveGrant(self, sequence, items);
            return;
        }
        if (unsent.size === 0) {
            clock.after(0, flushGrants);
        }
        const key = `${to} ${sequence}`;
        const grant = unsent.get(key) ?? { to, sequence, items: [] };
        grant.items.push(...items);
        unsent.set(key, grant);
    }

    const issuer = createPermitIssuer({
        clock,
        findHoldOffMs: ownership.findHoldOffMs,
        holdOffMs,
        findRate,
        sendGrant,
        onGranted: deps.onGranted,
    });
    const holder = createPermitHolder({
        clock,
        self,
        findOwner: ownership.findOwner,
        findRate,
        maxAsksPerSecond: () => (deps.isFleetDirect() ? maxDirectAsksPerSecond : maxAsksPerSecond),
        sendAsk: (owner, sequence, items) => {
            if (owner === self) {
                issuer.receiveAsk(self, sequence, items);
                return;
            }
            deps.send(owner, { permits: { kind: "ask", sequence, items } });
        },
        sendReturn: (owner, items) => {
            if (owner === self) {
                issuer.receiveReturn(self, items);
                return;
            }
            deps.send(owner, { permits: { kind: "return", items } });
        },
        onChange: deps.onChange,
    });

    function predictWaitMs(upstreams: readonly string[], ahead: number): number | undefined {
        if (upstreams.length === 0 || upstreams.some(upstream => findRate(upstream) === undefined)) {
            return undefined;
        }
        const waits = upstreams.map(upstream => holder.predictWaitMs(upstream, 0)).filter(one => one !== undefined);
        const shares = upstreams.map(upstream => holder.findShare(upstream) ?? 0);
        const share = shares.reduce((sum, one) => sum + one, 0);
        return waits.length === 0 ? undefined : Math.min(...waits) + ahead * millisecondsPerSecond / share;
    }

    return {
        isLimited: upstream => findRate(upstream) !== undefined,
        take: holder.take,
        predictWaitMs,
        receive: (from, { permits }) => {
            switch (permits.kind) {
                case "ask":
                    issuer.receiveAsk(from, permits.sequence, permits.items);
                    break;
                case "grant":
                    holder.receiveGrant(from, permits.sequence, permits.items);
                    break;
                case "return":
                    issuer.receiveReturn(from, permits.items);
                    break;
            }
        },
        update: () => {
            ownership.update();
            holder.removeUnknown(deps.isKnown);
            issuer.removeUnknown(deps.isKnown);
        },
        findOwner: ownership.findOwner,
        drop: holder.drop,
        clear: () => {
            ownership.reset();
            holder.clear();
            issuer.clear();
        },
    };
}
