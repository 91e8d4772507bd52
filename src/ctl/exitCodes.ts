/**
 * @module
 * Exit codes of reedwardctl. docs/operating/reedwardctl.md is checked against this table.
 */

/** Exit code by the outcome of a command. */
export const exitCodes = {
    done: 0,
    accepted: 0,
    failed: 1,
    notRun: 1,
    wrongUsage: 2,
    malformed: 2,
    conflict: 3,
    unknown: 4,
    differs: 5,
    notInForce: 6,
    notFound: 7,
} as const;

/** An exit code. */
export type ExitCode = (typeof exitCodes)[keyof typeof exitCodes];
