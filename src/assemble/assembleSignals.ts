/**
 * @module
 * Assembles what is known of upstreams from their answers.
 */
import type { UpstreamRegistry } from "../core/registry/createUpstreamRegistry.js";
import type { UpstreamRecord } from "../core/registry/upstreamRecord.js";
import { createSignalView, type SignalChange, type SignalView } from "../core/signals/createSignalView.js";
import type { MalformedSignal } from "../core/signals/upstreamSignal.js";
import type { AnswerHead } from "../io/proxy/proxyCodec.js";
import type { InstanceContext } from "./routerPorts.js";

/** What is known of upstreams from their answers. */
export interface InstanceSignals {
    readonly view: SignalView;
    /** Records the head of an answer; `sentMs` is when its request was sent. */
    readonly recordAnswer: (upstream: UpstreamRecord, head: AnswerHead, sentMs: number) => void;
    /** Calls `action` after each change of what an upstream states. */
    readonly onChange: (action: (change: SignalChange) => void) => void;
}

/** Minimum time between two log lines about malformed signals of one upstream, in milliseconds. */
const malformedLogIntervalMs = 10_000;

/** Upstreams whose last such log line is remembered. */
const maxMalformedUpstreams = 1_024;

/**
 * Assembles the signals.
 *
 * @param context - The instance.
 * @param registry - The upstreams.
 * @returns The signals.
 */
export function assembleSignals(context: InstanceContext, registry: Pick<UpstreamRegistry, "find">): InstanceSignals {
    const { clock, settings, writeLog, metrics } = context;
    const listeners: ((change: SignalChange) => void)[] = [];
    const malformedLoggedMs = new Map<string, number>();

    function recordChange(changed: SignalChange): void {
        const { kind: signal, ...details } = changed;
        metrics.signalChanges.inc({ signal, change: changed.change });
        writeLog("upstreamSignalChanged", { signal, ...details });
        listeners.forEach(action => action(changed));
    }

    function recordMalformed(upstream: string, { kind, text }: MalformedSignal): void {
        metrics.signalChanges.inc({ signal: kind, change: "malformed" });
        const nowMs = clock.now();
        if (nowMs - (malformedLoggedMs.get(upstream) ?? -Infinity) > malformedLogIntervalMs) {
            malformedLoggedMs.delete(upstream);
            malformedLoggedMs.set(upstream, nowMs);
            const oldest = malformedLoggedMs.keys().next().value;
            if (malformedLoggedMs.size > maxMalformedUpstreams && oldest !== undefined) {
                malformedLoggedMs.delete(oldest);
            }
            writeLog("upstreamSignalMalformed", { upstream, signal: kind, text });
        }
    }

    const view = createSignalView({
        self: settings.instance,
        findStartMs: upstream => registry.find(upstream)?.startedAtMs,
        onChange: recordChange,
    });
    return {
        view,
        onChange: action => {
            listeners.push(action);
        },
        recordAnswer: (upstream, head, sentMs) => {
            // An answer of another process says nothing about this one.
            if (head.rejection === "replaced") {
                return;
            }
            const { signals, isNotRun } = head;
            signals.malformed.forEach(malformed => recordMalformed(upstream.id, malformed));
            view.recordAnswer({ upstream, signals, isRun: !isNotRun, sentMs, receivedMs: clock.now() });
        },
    };
}
