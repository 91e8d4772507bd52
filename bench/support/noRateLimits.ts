/**
 * @module
 * Rate limits where no upstream states one.
 */
import type { UpstreamRateLimits } from "../../src/core/permits/createUpstreamPermits.js";

/** No limits. */
export const noRateLimits: UpstreamRateLimits = {
    isLimited: () => false,
    take: () => "unavailable",
    predictWaitMs: () => undefined,
};
