/**
 * @module
 * Adds latency to the calls of a log.
 */
import type { LogPort } from "../../src/core/ports/logPort.js";
import type { Clock } from "../../src/core/time/clock.js";

/** Delays each call before it is sent and after it is answered. */
export function delayLog(log: LogPort, clock: Clock, sampleDelayMs: () => number): LogPort {
    const wait = () => new Promise<void>(resolve => clock.after(sampleDelayMs(), resolve));
    return {
        append: async (stream, payloads) => {
            await wait();
            const answer = await log.append(stream, payloads);
            await wait();
            return answer;
        },
        read: async (stream, from, waitMs) => {
            await wait();
            const answer = await log.read(stream, from, waitMs);
            await wait();
            return answer;
        },
    };
}
