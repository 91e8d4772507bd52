/**
 * @module
 * Models of engines and services on a virtual clock. A connection delivers chunks until it ends, is aborted or stops
 * responding.
 */
import type { VirtualClock } from "../../fakes/createVirtualClock.js";
import { hashText } from "../../src/core/_lib/hashText.js";
import type { AnswerHead, UpstreamCall } from "../../src/core/effects/effectTypes.js";
import type { ServiceRun } from "./historyTypes.js";

/** Fault to inject into the next call to an upstream. */
export type CallFault =
    | "refuse"
    | "refuseUnrun"
    | "loseAnswer"
    | "silent"
    | "cut"
    | "repeatEvent"
    | "skipEvent"
    | "crossed"
    | "late"
    | "otherWeights";

/** Callbacks of a connection. */
export interface ConnectionListener {
    readonly onHead: (head: AnswerHead, correlationId: string) => void;
    readonly onChunk: (text: string) => void;
    readonly onEnd: (isAborted: boolean) => void;
    /** The connection was refused before anything was sent. */
    readonly onRefused: () => void;
}

/** The models with their recorded runs and fault switches. */
export interface UpstreamModel {
    readonly call: (call: UpstreamCall, listener: ConnectionListener) => void;
    readonly failNext: (upstream: string, fault: CallFault) => void;
    /** Aborts all connections of an upstream and discards its generations. */
    readonly crash: (upstream: string) => void;
    readonly serviceRuns: readonly ServiceRun[];
    readonly engineRuns: ReadonlySet<string>;
}

/** Tokens of every generated answer. */
export const tokensPerAnswer = 12;

/** Weights version that the engines serve. */
export const weightsVersion = "v1";

const tokenIntervalMs = 20;
const maxLatencyMs = 5;
const lateAnswerMs = 20_000;

/** Creates the events of the answer that a seed determines. */
export function createStreamEvents(seed: string, version: string): readonly string[] {
    const tokens = Array.from(
        { length: tokensPerAnswer },
        (_, index) => `t${hashText(`${seed}/${version}/${index}`) % 1000n}`,
    );
    return [...tokens, "[DONE]"].map((data, index) => `id: ${index}\ndata: ${data}\n\n`);
}

function toHead(isNotRun: boolean, incarnation: string, version: string | undefined): AnswerHead {
    return {
        status: isNotRun ? 503 : 200,
        contentType: "text/event-stream",
        incarnation,
        weightsVersion: version,
        cachedTokens: 0,
        isNotRun,
        retryAfterMs: undefined,
    };
}

/** Creates the models. */
export function createUpstreamModel(clock: VirtualClock): UpstreamModel {
    const faults = new Map<string, CallFault>();
    const incarnations = new Map<string, number>();
    const serviceRuns: ServiceRun[] = [];
    const engineRuns = new Set<string>();

    const latency = () => 1 + clock.random() * maxLatencyMs;
    const readIncarnation = (upstream: string) => incarnations.get(upstream) ?? 0;

    function answerService(call: UpstreamCall, listener: ConnectionListener, fault: CallFault | undefined): void {
        const key = call.headers["idempotency-key"] ?? "";
        const requestId = call.correlationId.split("/")[0]!;
        const answer = `run ${serviceRuns.length} of ${key}`;
        serviceRuns.push({ key, requestId, answer });
        if (fault === "silent") {
            return;
        }
        const delayMs = fault === "late" ? lateAnswerMs : latency();
        clock.after(delayMs, () => {
            if (fault === "loseAnswer" || fault === "cut") {
                listener.onEnd(true);
                return;
            }
            const correlationId = fault === "crossed" ? "another" : call.correlationId;
            listener.onHead(toHead(false, "service", undefined), correlationId);
            listener.onChunk(answer);
            listener.onEnd(false);
        });
    }

    function stream(call: UpstreamCall, listener: ConnectionListener, fault: CallFault | undefined): void {
        const { id } = call.upstream;
        const incarnation = readIncarnation(id);
        const version = fault === "otherWeights" ? "v0" : weightsVersion;
        const events = createStreamEvents(call.headers["x-seed"] ?? "", version);
        const faultAt = Math.floor(clock.random() * events.length);
        let next = Number(call.headers["x-stream-offset"]);
        engineRuns.add(call.correlationId.split("/")[0]!);
        const correlationId = fault === "crossed" ? "another" : call.correlationId;
        listener.onHead(toHead(false, `${id}/${incarnation}`, version), correlationId);

        function step(): void {
            if (readIncarnation(id) !== incarnation) {
                listener.onEnd(true);
                return;
            }
            if (fault === "silent" && next >= faultAt) {
                return;
            }
            if ((fault === "cut" || fault === "loseAnswer") && next >= faultAt) {
                listener.onEnd(true);
                return;
            }
            if (fault === "skipEvent" && next === faultAt && next < events.length - 1) {
                next += 1;
            }
            listener.onChunk(`: heartbeat\n\n${events[next]!}`);
            if (fault === "repeatEvent" && next === faultAt) {
                listener.onChunk(events[next]!);
            }
            next += 1;
            if (next === events.length) {
                listener.onEnd(false);
                return;
            }
            clock.after(tokenIntervalMs, step);
        }
        clock.after(latency(), step);
    }

    function call(one: UpstreamCall, listener: ConnectionListener): void {
        const fault = faults.get(one.upstream.id);
        faults.delete(one.upstream.id);
        clock.after(latency(), () => {
            if (fault === "refuse") {
                listener.onRefused();
            }
            else if (fault === "refuseUnrun") {
                listener.onHead(toHead(true, "", undefined), one.correlationId);
            }
            else if (one.upstream.role === "service") {
                answerService(one, listener, fault);
            }
            else {
                stream(one, listener, fault);
            }
        });
    }

    return {
        call,
        failNext: (upstream, fault) => faults.set(upstream, fault),
        crash: upstream => incarnations.set(upstream, readIncarnation(upstream) + 1),
        serviceRuns,
        engineRuns,
    };
}
