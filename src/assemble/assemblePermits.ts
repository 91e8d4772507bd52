/**
 * @module
 * Assembles the permits for upstreams that state rate limits, and the exchange of what upstreams state with other instances.
 */
import type { FleetMember } from "../core/fleet/createFleetView.js";
import { listServing } from "../core/fleet/listServing.js";
import { createUpstreamPermits, type UpstreamRateLimits } from "../core/permits/createUpstreamPermits.js";
import type { PermitMessage } from "../core/permits/permitMessage.js";
import { createSignalExchange } from "../core/signals/createSignalExchange.js";
import type { SignalMessage } from "../core/signals/signalReport.js";
import type { ListedSignal } from "../io/peers/readSignals.js";
import type { InstanceViews } from "./assembleViews.js";
import type { InstanceContext } from "./routerPorts.js";

/** The other instances, as permits and signals see them. */
export interface PermitPeers {
    readonly listLive: () => readonly FleetMember[];
    readonly isDirect: () => boolean;
    /** Longest time for which the instances' views of the fleet differ, in milliseconds. */
    readonly viewTimeoutMs: () => number;
    readonly send: (names: readonly string[], message: SignalMessage | PermitMessage) => void;
    /** Whether this instance serves and does not leave. */
    readonly isServing: () => boolean;
}

/** Permits of this instance, and what it tells others of upstreams. */
export interface InstancePermits {
    readonly rateLimits: UpstreamRateLimits;
    /** Applies a message of another live instance. */
    readonly receive: (from: string, message: SignalMessage | PermitMessage) => void;
    readonly digest: () => string | undefined;
    readonly compareDigest: (from: string, digest: string | undefined) => void;
    /** Takes note of the instances that may issue permits, and of upstreams that are gone; called often. */
    readonly update: () => void;
    /** Lists what upstreams have stated, for operators. */
    readonly listSignals: () => readonly ListedSignal[];
    /** Calls `action` when requests that wait may find a permit. */
    readonly onChange: (action: () => void) => void;
    /** Forgets permits, after a pause of the process. */
    readonly clear: () => void;
}

/**
 * Assembles the permits.
 *
 * @param context - The instance.
 * @param views - What is known of upstreams.
 * @param peers - The other instances.
 * @returns The permits.
 */
export function assemblePermits(context: InstanceContext, views: InstanceViews, peers: PermitPeers): InstancePermits {
    const { clock, settings, random, metrics } = context;
    const { view } = views.signals;
    const listeners: (() => void)[] = [];
    const listOthers = () => peers.listLive().map(member => member.instance.name);

    function listCandidates(): readonly string[] {
        const others = listServing(peers.listLive()).map(instance => instance.name);
        return peers.isServing() ? [settings.instance, ...others] : others;
    }

    const notifyChange = () => listeners.forEach(action => action());

    const permits = createUpstreamPermits({
        clock,
        self: settings.instance,
        listCandidates,
        viewTimeoutMs: peers.viewTimeoutMs,
        isFleetDirect: peers.isDirect,
        findRate: upstream => view.findRateLimit(upstream, clock.now()),
        isKnown: upstream => views.registry.find(upstream) !== undefined,
        send: (to, message) => peers.send([to], message),
        onGranted: count => metrics.permits.inc(count),
        onChange: notifyChange,
    });

    /** In a large fleet the others learn of a change by their own answers, from the owner and with heartbeats. */
    function listReceivers(upstream: string): readonly string[] {
        const owner = permits.findOwner(upstream);
        return peers.isDirect() || owner === undefined
            ? listOthers()
            : [owner].filter(one => one !== settings.instance);
    }

    const exchange = createSignalExchange({
        clock,
        random,
        listReceivers,
        isFleetDirect: peers.isDirect,
        countOthers: () => peers.listLive().length,
        digest: view.digest,
        listReports: () => view.listReports(clock.now()),
        send: peers.send,
    });
    views.signals.onChange(({ upstream, kind, source }) => {
        if (kind === "rateLimit") {
            permits.drop(upstream);
        }
        if (source === settings.instance && kind !== "retryAfter") {
            exchange.report(upstream);
        }
        notifyChange();
    });
    function listSignals(): readonly ListedSignal[] {
        return view.listReports(clock.now()).map(report => {
            const isLimit = report.kind === "rateLimit";
            return {
                report,
                ratePerSecond: isLimit ? view.findRateLimit(report.upstream, clock.now()) : undefined,
                owner: isLimit ? permits.findOwner(report.upstream) : undefined,
            };
        });
    }

    return {
        rateLimits: permits,
        receive: (from, message) => {
            if ("signals" in message) {
                view.applyReports(message.signals, clock.now());
            }
            else {
                permits.receive(from, message);
            }
        },
        digest: view.digest,
        compareDigest: exchange.compareDigest,
        update: permits.update,
        listSignals,
        onChange: action => {
            listeners.push(action);
        },
        clear: permits.clear,
    };
}
