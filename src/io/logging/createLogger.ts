/**
 * @module
 * Writes numbered log events as JSON lines through loglevel.
 */
import loglevel from "loglevel";
import { logEventTable, type LogLevel, type WriteLog } from "../../core/logEvents/logEventTable.js";

/**
 * Creates the writer of log events.
 *
 * @param instance - Name of this instance, written with each event.
 * @param level - Minimum level that is written.
 * @returns The writer.
 */
export function createLogger(instance: string, level: LogLevel): WriteLog {
    const logger = loglevel.getLogger(`reedward/${instance}`);
    logger.setLevel(level, false);
    return (name, fields) => {
        const event = logEventTable[name];
        const time = new Date().toISOString();
        const line = { time, code: event.code, level: event.level, instance, message: event.message, ...fields };
        logger[event.level](JSON.stringify(line));
    };
}
