/**
 * @module
 * Connects the claims of the core to the log.
 */
import { randomUUID } from "node:crypto";
import { type ClaimKeeper, createClaimKeeper } from "../../core/claims/createClaimKeeper.js";
import type { LogPort } from "../../core/ports/logPort.js";
import type { Clock } from "../../core/time/clock.js";

/** What claims need. */
export interface LogClaimsDependencies {
    /** Undefined when the instance has no log setting; then every claim is unavailable. */
    readonly log: LogPort | undefined;
    readonly clock: Clock;
    readonly onAppend: (records: number) => void;
}

const noKeeper: ClaimKeeper = {
    start: () => undefined,
    claim: (_, decide) => decide({ kind: "unavailable", detail: "this instance has no log setting" }),
    conclude: () => undefined,
    flush: onDone => onDone(),
    stop: () => undefined,
};

/**
 * Creates the claims of this instance over the log.
 *
 * @param dependencies - The log and the clock.
 * @returns The claims; nothing runs before `start`.
 */
export function createLogClaims(dependencies: LogClaimsDependencies): ClaimKeeper {
    const { log, clock, onAppend } = dependencies;
    if (log === undefined) {
        return noKeeper;
    }
    return createClaimKeeper({
        clock,
        onAppend,
        createClaimId: randomUUID,
        append: (payloads, onDone) => void log.append("claims", payloads).then(result => onDone(result.isOk)),
        read: (from, waitMs, onDone) => void log.read("claims", from, waitMs).then(onDone),
    });
}
