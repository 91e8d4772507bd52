/**
 * @module
 * The machine's monotonic clock, which all processes of a run read alike.
 */

const nanosecondsPerMillisecond = 1e6;

/** Returns the time of the machine's monotonic clock, in milliseconds. */
export function readSharedClock(): number {
    return Number(process.hrtime.bigint()) / nanosecondsPerMillisecond;
}
