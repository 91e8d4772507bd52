/**
 * @module
 * Assembles the tracking of requests on engines, and the check whether an engine has ended under them.
 */
import { logInternalFailure } from "../core/logEvents/logInternalFailure.js";
import { listSharedParts } from "../core/placement/_lib/listSharedParts.js";
import type { ProxyRequest, SendOutcome } from "../core/proxy/proxyTypes.js";
import { countSharedParts } from "../core/quarantine/countSharedParts.js";
import { createEndTracker, type TrackedSend } from "../core/quarantine/createEndTracker.js";
import type { EngineEnd } from "../core/quarantine/engineEnd.js";
import type { UpstreamRecord } from "../core/registry/upstreamRecord.js";
import { checkListening } from "../io/upstream/checkListening.js";
import type { InstanceContext } from "./routerPorts.js";

/** Observes the sends of requests to upstreams. */
export interface SendObserver {
    readonly recordBegin: (req: ProxyRequest, upstream: UpstreamRecord) => void;
    /** Records an event of a streamed answer. */
    readonly recordEvent: (req: ProxyRequest) => void;
    /** Records that the connection ended before the answer was complete. */
    readonly recordConnectionEnd: (req: ProxyRequest, upstream: UpstreamRecord) => void;
    readonly recordOutcome: (req: ProxyRequest, outcome: SendOutcome) => void;
}

/** The tracking. */
export interface EndTracking extends SendObserver {
    /** Forgets all requests, after a pause of the process. */
    readonly clear: () => void;
}

/** Receivers of what is tracked. */
export interface EndTrackingOptions {
    readonly onEnd: (end: EngineEnd) => void;
    /** Receives the shared parts of a prompt whose answer has begun without harm, and when the request was sent. */
    readonly onSettled: (parts: readonly string[], sentMs: number) => void;
}

/** Shared parts of an ended engine's requests that are logged. */
const maxLoggedParts = 8;

/** Lowest status of an answer in which an upstream reports a failure. */
const minFailureStatus = 500;

/**
 * Assembles the tracking.
 *
 * @param context - The instance.
 * @param options - Receivers of ends and of answers that have begun.
 * @returns The tracking.
 */
export function assembleEndTracking(context: InstanceContext, options: EndTrackingOptions): EndTracking {
    const { clock, writeLog, metrics } = context;
    const tracker = createEndTracker(options.onSettled);
    /** The current send of each request. */
    const sends = new Map<string, TrackedSend>();
    /** Engines that are being checked. */
    const checking = new Set<string>();

    function reportEnd(end: EngineEnd, { address }: UpstreamRecord): void {
        const parts = [...countSharedParts(end.requests)].slice(0, maxLoggedParts);
        metrics.upstreamEnds.inc();
        writeLog("upstreamEnded", {
            upstream: end.engine,
            address,
            requests: end.requests.length,
            requestIds: end.requests.slice(0, maxLoggedParts).map(req => req.id),
            parts: Object.fromEntries(parts),
        });
        options.onEnd(end);
    }

    /** An answer may be lost on an engine that goes on: only a refused connection shows that its process is gone. */
    async function check(upstream: UpstreamRecord): Promise<void> {
        const state = await checkListening(upstream.address);
        if (state !== "refused") {
            tracker.recordAlive(upstream.id);
            return;
        }
        const end = tracker.confirmEnd(upstream.id, clock.now());
        if (end !== undefined) {
            reportEnd(end, upstream);
        }
    }

    function checkOnce(upstream: UpstreamRecord): void {
        if (!checking.has(upstream.id)) {
            checking.add(upstream.id);
            check(upstream)
                .catch((error: unknown) => logInternalFailure(writeLog, error))
                .finally(() => checking.delete(upstream.id));
        }
    }

    return {
        recordBegin: (req, upstream) => {
            if (req.prompt !== undefined) {
                const parts = listSharedParts(req.prompt).map(part => part.id);
                sends.set(req.id, tracker.begin({ id: req.id, parts }, upstream, clock.now()));
            }
        },
        recordEvent: req => sends.get(req.id)?.recordEvent(clock.now()),
        recordConnectionEnd: (req, upstream) => {
            const send = sends.get(req.id);
            if (send !== undefined && !upstream.isDraining) {
                send.recordConnectionEnd();
                checkOnce(upstream);
            }
        },
        recordOutcome: (req, outcome) => {
            const isAnswered = outcome.kind === "finished"
                || (outcome.kind === "answered" && outcome.answer.status < minFailureStatus);
            const send = sends.get(req.id);
            sends.delete(req.id);
            if (isAnswered) {
                send?.recordAnswer();
            }
            else {
                send?.end();
            }
        },
        clear: tracker.clear,
    };
}
