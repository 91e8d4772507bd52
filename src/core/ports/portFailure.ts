/**
 * @module
 * The one failure type of every port to a system outside the process.
 */

/** Why a call to an outside system has no usable answer. */
export interface PortFailure {
    /**
     * `notSent`: no byte of the call can have been acted on; `refused`: the system answered that it did not act;
     * `lost`: the call may have been acted on; `malformed`: the answer could not be decoded.
     */
    readonly kind: "notSent" | "refused" | "lost" | "malformed";
    readonly detail: string;
}
