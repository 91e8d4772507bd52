/**
 * @module
 * Waits for admission until the deadline or until the caller disconnects.
 */
import { createRefusal } from "../../core/errors/createRefusal.js";
import type { Admission, AdmissionRequest, AdmissionVerdict } from "../../core/limits/admissionTypes.js";
import type { Clock } from "../../core/time/clock.js";

/** Dependencies of {@link awaitAdmission}. */
export interface AwaitAdmissionDependencies {
    readonly clock: Clock;
    readonly admission: Admission;
}

/**
 * Requests admission. When a request is admitted after the wait was cancelled, its permit is released at once.
 *
 * @param req - The request.
 * @param dependencies - Admission and the clock.
 * @param onVerdict - Called once with the verdict, synchronously or later.
 * @returns A function that cancels the wait when the caller disconnects; undefined when the verdict is already known.
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
