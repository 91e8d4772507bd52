/**
 * @module
 * Waits for admission, until the deadline or the caller's going.
 */
import { createRefusal } from "../../core/errors/createRefusal.js";
import type { Admission, AdmissionRequest, AdmissionVerdict } from "../../core/limits/admissionTypes.js";
import type { Clock } from "../../core/time/clock.js";

/** What waiting needs. */
export interface AwaitAdmissionDependencies {
    readonly clock: Clock;
    readonly admission: Admission;
}

/**
 * Asks admission. A verdict that comes after the request was given up returns its slot.
 *
 * @param req - The request.
 * @param dependencies - Admission and the clock.
 * @param onVerdict - Called once with the verdict, at once or later.
 * @returns Gives the request up because the caller has gone; undefined when the verdict is there already.
 */
export function awaitAdmission(
    req: AdmissionRequest,
    dependencies: AwaitAdmissionDependencies,
    onVerdict: (verdict: AdmissionVerdict) => void,
): (() => void) | undefined {
    const { admission, clock } = dependencies;
    let isOver = false;

    function finish(verdict: AdmissionVerdict): void {
        isOver = true;
        cancelDeadline();
        onVerdict(verdict);
    }

    function giveUp(kind: "cancelled" | "deadlineBeforeSend"): void {
        if (isOver) {
            return;
        }
        isOver = true;
        admission.cancel(req.requestId);
        finish({ kind: "refused", refusal: createRefusal(kind, "") });
    }

    const waitMs = Math.max(0, req.deadlineMs - clock.now());
    const cancelDeadline = clock.after(waitMs, () => giveUp("deadlineBeforeSend"));
    admission.admit(req, verdict => {
        if (!isOver) {
            finish(verdict);
        }
        else if (verdict.kind === "admitted") {
            admission.complete(req.requestId, { promptTokens: 0, outputTokens: 0 });
        }
    });
    return isOver ? undefined : () => giveUp("cancelled");
}
