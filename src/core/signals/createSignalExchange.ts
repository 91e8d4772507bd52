/**
 * @module
 * Tells the other instances what upstreams have stated to this one: changes at once, and everything to an instance whose
 * heartbeat shows that it knows something else.
 */
import type { Clock } from "../time/clock.js";
import { maxReportedSignals, type SignalMessage, type SignalReport } from "./signalReport.js";

/** Exchanges what upstreams have stated. */
export interface SignalExchange {
    /** Reports what is known of an upstream, soon and together with other changes. */
    readonly report: (upstream: string) => void;
    /** Compares what the sender of a heartbeat knows, and brings it up to date. */
    readonly compareDigest: (from: string, digest: string | undefined) => void;
}

/** Dependencies of {@link createSignalExchange}. */
export interface SignalExchangeDependencies {
    readonly clock: Clock;
    /** Random number from 0 (included) to 1 (excluded). */
    readonly random: () => number;
    /** Instances that are told of a change of an upstream at once. */
    readonly listReceivers: (upstream: string) => readonly string[];
    /** Whether the fleet is so small that all instances hear from each other directly. */
    readonly isFleetDirect: () => boolean;
    /** Number of other instances. */
    readonly countOthers: () => number;
    readonly digest: () => string | undefined;
    readonly listReports: () => readonly SignalReport[];
    readonly send: (names: readonly string[], message: SignalMessage) => void;
}

/** Minimum time between two messages that bring one instance up to date, in milliseconds. */
const minUpdateIntervalMs = 1_000;

/** Time after a change in which reports of it are still on their way, in milliseconds. */
const settlingMs = 500;

/** Number of instances that bring another one up to date at once. */
const helpers = 3;

/** Minimum time between two such messages to any instance, and their most reports, in a large fleet. */
const minRelayedIntervalMs = 2_000;
const maxRelayedReports = 5;

/**
 * Creates an exchange.
 *
 * @param deps - What is known, and the other instances.
 * @returns The exchange.
 * @example
 * createSignalExchange(deps).report("engine-1");
 */
export function createSignalExchange(deps: SignalExchangeDependencies): SignalExchange {
    const { clock } = deps;
    const changed = new Set<string>();
    const updatedMs = new Map<string, number>();
    let lastUpdateMs = -Infinity;
    let lastDigest: string | undefined;
    let lastChangeMs = -Infinity;

    /** A time for which an upstream wants no request of this instance does not concern the others. */
    const listShared = () => deps.listReports().filter(report => report.kind !== "retryAfter");

    function flush(): void {
        const upstreams = new Set(changed);
        changed.clear();
        const byReceiver = new Map<string, SignalReport[]>();
        for (const report of listShared().filter(one => upstreams.has(one.upstream))) {
            for (const name of deps.listReceivers(report.upstream)) {
                byReceiver.set(name, [...byReceiver.get(name) ?? [], report]);
            }
        }
        byReceiver.forEach((reports, name) => deps.send([name], { signals: reports.slice(0, maxReportedSignals) }));
    }

    /** Chooses reports at random where one message cannot hold all: further ones bring the rest. */
    function chooseReports(limit: number): readonly SignalReport[] {
        const reports = listShared();
        if (reports.length <= limit) {
            return reports;
        }
        const ordered = reports.map(report => ({ report, order: deps.random() }));
        return ordered.toSorted((left, right) => left.order - right.order).slice(0, limit).map(one => one.report);
    }

    function isDue(name: string, isDirect: boolean): boolean {
        const nowMs = clock.now();
        return nowMs - (updatedMs.get(name) ?? -Infinity) > minUpdateIntervalMs
            && (isDirect || nowMs - lastUpdateMs > minRelayedIntervalMs);
    }

    /** Whether what this instance knows has not changed for a while. */
    function isSettled(): boolean {
        const digest = deps.digest();
        if (digest !== lastDigest) {
            lastDigest = digest;
            lastChangeMs = clock.now();
        }
        return clock.now() - lastChangeMs > settlingMs;
    }

    return {
        report: upstream => {
            if (changed.size === 0) {
                clock.after(0, flush);
            }
            changed.add(upstream);
        },
        compareDigest: (from, digest) => {
            const isDirect = deps.isFleetDirect();
            if (!isSettled() || digest === deps.digest() || !isDue(from, isDirect)) {
                return;
            }
            if (deps.random() * deps.countOthers() > helpers) {
                return;
            }
            const signals = chooseReports(isDirect ? maxReportedSignals : maxRelayedReports);
            if (signals.length > 0) {
                updatedMs.set(from, clock.now());
                lastUpdateMs = clock.now();
                deps.send([from], { signals });
            }
        },
    };
}
