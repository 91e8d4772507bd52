/**
 * @module
 * Claims over the log port.
 */
import { randomUUID } from "node:crypto";
import { type ClaimManager, createClaimManager } from "../../core/claims/createClaimManager.js";
import type { LogPort } from "../../core/ports/logPort.js";
import type { Clock } from "../../core/time/clock.js";

/** Dependencies of the claims. */
export interface LogClaimsDependencies {
    /** Undefined when the instance has no log setting; then every claim is unavailable. */
    readonly log: LogPort | undefined;
    readonly clock: Clock;
    readonly onAppend: (records: number) => void;
}

const unavailableClaims: ClaimManager = {
    start: () => undefined,
    claim: (_, decide) => decide({ kind: "unavailable", detail: "this instance has no log setting" }),
    conclude: () => undefined,
    flush: onDone => onDone(),
    stop: () => undefined,
};

/**
 * Creates the claim manager of this instance over the log.
 *
 * @param dependencies - The log and the clock.
 * @returns The manager; nothing runs before `start`.
 */
export function createLogClaims(dependencies: LogClaimsDependencies): ClaimManager {
    const { log, clock, onAppend } = dependencies;
    if (log === undefined) {
        return unavailableClaims;
    }
    return createClaimManager({
        clock,
        onAppend,
        createClaimId: randomUUID,
        append: (payloads, onDone) => void log.append("claims", payloads).then(result => onDone(result.isOk)),
        read: (from, waitMs, onDone) => void log.read("claims", from, waitMs).then(onDone),
    });
}
