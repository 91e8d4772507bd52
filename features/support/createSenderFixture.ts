/**
 * @module
 * A sender, and a caller that takes everything, for steps that send single requests to scripted upstreams.
 */
import { createCodec } from "../../platform/createCodec.js";
import { createHealthView } from "../../src/core/placement/createHealthView.js";
import { createAnswerMemory } from "../../src/core/proxy/createAnswerMemory.js";
import type { CallerExchange } from "../../src/io/proxy/createCallerExchange.js";
import { createUpstreamSender } from "../../src/io/proxy/createUpstreamSender.js";
import type { SendToUpstream, UpstreamSenderDependencies } from "../../src/io/proxy/upstreamSenderTypes.js";

type GivenDependencies = Pick<UpstreamSenderDependencies, "clock" | "connections">;

/** Memory that answers in progress may hold, in bytes. */
const answerBytes = 32 << 20;

/** Creates a sender that reports nothing, but for what the options receive. */
export function createSenderFixture(
    options: GivenDependencies & Partial<UpstreamSenderDependencies>,
): SendToUpstream {
    return createUpstreamSender({
        codec: createCodec(),
        health: createHealthView(),
        answerMemory: createAnswerMemory(answerBytes),
        unbegun: { mayBegin: () => true, track: () => () => undefined },
        onRunBegin: () => undefined,
        onWithdrawn: () => undefined,
        onAnswerHead: () => undefined,
        onAnswerEnd: () => undefined,
        onForeignAnswer: () => undefined,
        onEvent: () => undefined,
        onConnectionEnd: () => undefined,
        onHeadTime: () => undefined,
        ...options,
    });
}

/** Creates a caller that takes everything and stays. */
export function createIndifferentCaller(): CallerExchange {
    let hasStarted = false;
    return {
        isDisconnected: () => false,
        onDisconnect: () => () => undefined,
        hasStarted: () => hasStarted,
        startStream: () => {
            hasStarted = true;
        },
        writeChunk: () => true,
        onDrained: () => undefined,
        endStream: () => undefined,
        answer: () => undefined,
        refuse: () => undefined,
        abort: () => undefined,
    };
}
