/**
 * @module
 * Which upstreams get no new work because they leave, from three signals: the platform's instance list, the engine's
 * own word, and the catalogue. What one instance learns rides on its messages to the others.
 */
import type { Upstream } from "../catalogue/catalogueEntry.js";
import type { PeerAttachment } from "../membership/peerAttachment.js";
import type { ListedInstance } from "../ports/platformPort.js";
import type { Clock } from "../time/clock.js";

/** Signals of upstreams that leave. */
export interface DrainTracker {
    /** True when the upstream leaves and gets no new work. */
    readonly isDraining: (upstream: Upstream) => boolean;
    /** Leaves out upstreams that leave, and those that lately did not run a request as long as others remain. */
    readonly selectServing: (upstreams: readonly Upstream[]) => readonly Upstream[];
    /** Takes the instance list as read from the platform. */
    readonly applyInstanceList: (instances: readonly ListedInstance[]) => void;
    /** Takes what an engine said of itself in a load report or an answer. */
    readonly recordEngineState: (address: string, isLeaving: boolean) => void;
    /** An upstream answered that it did not run a request. */
    readonly recordNotRun: (address: string) => void;
    /** Shares what was learned with the other instances. */
    readonly attachment: PeerAttachment;
}

/** What the signals need. */
export interface DrainTrackerDependencies {
    readonly clock: Clock;
    /** Asks for messages to peers at once, since news must reach all of them within the bound. */
    readonly sendNow: () => void;
    readonly countPeers: () => number;
}

/** Time for which a signal holds when it is not repeated, in milliseconds. */
const signalLifetimeMs = 120_000;

/** Peers that are told beyond the logarithm of their number. */
const extraTellings = 4;

/** Time for which an upstream that did not run a request is avoided, in milliseconds. */
const avoidedMs = 1_000;

interface LeaveSignal {
    readonly atMs: number;
    tellingsLeft: number;
}

/**
 * Creates the signals.
 *
 * @param dependencies - The clock and the peers.
 * @returns The signals; an upstream that nobody named gets work.
 * @example
 * createUpstreamLeaves({ clock, hurry, countPeers }).isLeaving(upstream);
 */
export function createDrainTracker(dependencies: DrainTrackerDependencies): DrainTracker {
    const { clock } = dependencies;
    const signals = new Map<string, LeaveSignal>();
    const avoidedUntilMs = new Map<string, number>();

    function isCurrent(signal: LeaveSignal | undefined): signal is LeaveSignal {
        return signal !== undefined && clock.now() - signal.atMs < signalLifetimeMs;
    }

    function note(address: string): void {
        const held = signals.get(address);
        const isNews = !isCurrent(held);
        const tellings = Math.ceil(Math.log2(dependencies.countPeers() + 1)) + extraTellings;
        signals.set(address, { atMs: clock.now(), tellingsLeft: isNews ? tellings : held.tellingsLeft });
        if (isNews) {
            dependencies.sendNow();
        }
    }

    function noteList(instances: readonly ListedInstance[]): void {
        for (const one of instances) {
            if (one.role === "upstream" && one.state === "leaving") {
                note(one.address);
            }
        }
    }

    function noteEngine(address: string, isLeaving: boolean): void {
        if (isLeaving) {
            note(address);
        }
    }

    function isLeaving(upstream: Upstream): boolean {
        return upstream.leaving || isCurrent(signals.get(upstream.address));
    }

    function selectServing(upstreams: readonly Upstream[]): readonly Upstream[] {
        const staying = upstreams.filter(one => !isLeaving(one));
        const willing = staying.filter(one => (avoidedUntilMs.get(one.address) ?? 0) <= clock.now());
        return willing.length === 0 ? staying : willing;
    }

    function collect(_: string, maxBytes: number): string | undefined {
        let text = "";
        for (const [address, signal] of signals) {
            if (!isCurrent(signal)) {
                signals.delete(address);
            }
            else if (signal.tellingsLeft > 0 && text.length + address.length < maxBytes) {
                signal.tellingsLeft -= 1;
                text += text === "" ? address : `,${address}`;
            }
        }
        return text === "" ? undefined : text;
    }

    return {
        isDraining: isLeaving,
        selectServing,
        applyInstanceList: noteList,
        recordEngineState: noteEngine,
        recordNotRun: address => avoidedUntilMs.set(address, clock.now() + avoidedMs),
        attachment: {
            name: "leavingUpstreams",
            collect,
            receive: (_, payload) => payload.split(",").forEach(note),
        },
    };
}
