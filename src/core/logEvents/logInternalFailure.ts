/**
 * @module
 * Logs an exception that no code expected.
 */
import type { WriteLog } from "./logEventTable.js";

/**
 * Logs an exception with its stack.
 *
 * @param writeLog - The log.
 * @param error - What was thrown.
 * @param fields - Further fields of the line, such as the request's id.
 * @example
 * dispatch().catch(error => logInternalFailure(writeLog, error));
 */
export function logInternalFailure(
    writeLog: WriteLog,
    error: unknown,
    fields: Readonly<Record<string, unknown>> = {},
): void {
    writeLog("internalFailure", { ...fields, detail: error instanceof Error ? error.stack : String(error) });
}
