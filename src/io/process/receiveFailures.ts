/**
 * @module
 * Errors that nothing caught. They are received before the rest of the program is loaded, since an error without a handler
 * ends the process.
 */

/** The received errors. */
export interface ProcessFailures {
    /** Reports an error; on the standard error output until {@link ProcessFailures.connect}. */
    readonly report: (error: unknown) => void;
    /** Gives errors to a log from now on. */
    readonly connect: (log: (error: unknown) => void) => void;
}

function printFailure(error: unknown): void {
    process.stderr.write(`reedward: ${error instanceof Error ? error.stack : String(error)}\n`);
}

/**
 * Begins to receive errors that nothing caught, those of rejected promises too.
 *
 * @returns The received errors.
 * @example
 * const failures = receiveFailures();
 * failures.connect(error => logInternalFailure(writeLog, error));
 */
export function receiveFailures(): ProcessFailures {
    let log = printFailure;
    const report = (error: unknown) => log(error);
    process.on("uncaughtException", report);
    return {
        report,
        connect: connected => {
            log = connected;
        },
    };
}
