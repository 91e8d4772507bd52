/**
 * @module
 * Tracks draining upstreams, which get no new requests, from three signals: the platform's instance list, the engine's
 * own reports, and the catalogue. Each instance attaches the drain signals that it receives to its messages to the
 * others.
 */
import type { Upstream } from "../catalogue/catalogueEntry.js";
import type { PeerAttachment } from "../membership/peerAttachment.js";
import type { ListedInstance } from "../ports/platformPort.js";
import type { Clock } from "../time/clock.js";

/** Tracker of draining upstreams. */
export interface DrainTracker {
    /** Whether the upstream is draining and gets no new requests. */
    readonly isDraining: (upstream: Upstream) => boolean;
    /** Selects upstreams that are not draining, without those that recently did not run a request if others remain. */
    readonly selectServing: (upstreams: readonly Upstream[]) => readonly Upstream[];
    /** Applies the instance list as read from the platform. */
    readonly applyInstanceList: (instances: readonly ListedInstance[]) => void;
    /** Records the state that an engine gave in a load report or an answer. */
    readonly recordEngineState: (address: string, isDraining: boolean) => void;
    /** Records that an upstream answered that it did not run a request. */
    readonly recordNotRun: (address: string) => void;
    /** Carries drain signals to the other instances and applies theirs. */
    readonly attachment: PeerAttachment;
}

/** Dependencies of {@link createDrainTracker}. */
export interface DrainTrackerDependencies {
    readonly clock: Clock;
    /** Sends messages to peers at once, since a drain signal must reach all of them within a time bound. */
    readonly sendNow: () => void;
    readonly countPeers: () => number;
}

/** Time after which a signal that is not renewed expires. */
const signalLifetimeMs = 120_000;

/** Messages that carry a signal, in addition to the binary logarithm of the number of instances. */
const extraMessages = 4;

/** Time for which an upstream that did not run a request is avoided. */
const avoidedMs = 1_000;

interface DrainSignal {
    readonly atMs: number;
    messagesLeft: number;
}

/**
 * Creates a tracker without signals.
 *
 * @param dependencies - The clock and access to the peers.
 * @returns The tracker; an upstream without a signal is not draining.
 * @example
 * createDrainTracker({ clock, sendNow, countPeers }).isDraining({ ...upstream, leaving: true }); // true
 */
export function createDrainTracker(dependencies: DrainTrackerDependencies): DrainTracker {
    const { clock } = dependencies;
    const signals = new Map<string, DrainSignal>();
    const avoidedUntilMs = new Map<string, number>();

    function isCurrent(signal: DrainSignal | undefined): signal is DrainSignal {
        return signal !== undefined && clock.now() - signal.atMs < signalLifetimeMs;
    }

    function recordSignal(address: string): void {
        const known = signals.get(address);
        const isNew = !isCurrent(known);
        const messages = Math.ceil(Math.log2(dependencies.countPeers() + 1)) + extraMessages;
        signals.set(address, { atMs: clock.now(), messagesLeft: isNew ? messages : known.messagesLeft });
        if (isNew) {
            dependencies.sendNow();
        }
    }

    function applyInstanceList(instances: readonly ListedInstance[]): void {
        for (const one of instances) {
            if (one.role === "upstream" && one.state === "leaving") {
                recordSignal(one.address);
            }
        }
    }

    function recordEngineState(address: string, isDraining: boolean): void {
        if (isDraining) {
            recordSignal(address);
        }
    }

    function isDraining(upstream: Upstream): boolean {
        return upstream.leaving || isCurrent(signals.get(upstream.address));
    }

    function selectServing(upstreams: readonly Upstream[]): readonly Upstream[] {
        const serving = upstreams.filter(one => !isDraining(one));
        const available = serving.filter(one => (avoidedUntilMs.get(one.address) ?? 0) <= clock.now());
        return available.length === 0 ? serving : available;
    }

    function collect(_: string, maxBytes: number): string | undefined {
        let text = "";
        for (const [address, signal] of signals) {
            if (!isCurrent(signal)) {
                signals.delete(address);
            }
            else if (signal.messagesLeft > 0 && text.length + address.length < maxBytes) {
                signal.messagesLeft -= 1;
                text += text === "" ? address : `,${address}`;
            }
        }
        return text === "" ? undefined : text;
    }

    return {
        isDraining,
        selectServing,
        applyInstanceList,
        recordEngineState,
        recordNotRun: address => avoidedUntilMs.set(address, clock.now() + avoidedMs),
        attachment: {
            name: "leavingUpstreams",
            collect,
            receive: (_, payload) => payload.split(",").forEach(recordSignal),
        },
    };
}
