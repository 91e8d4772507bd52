/**
 * @module
 * Numbered log events. docs/LOG-EVENTS.md is checked against this table.
 */

/** Level of a log event. */
export type LogLevel = "debug" | "info" | "warn" | "error";

/** One numbered event. */
export interface LogEvent {
    readonly code: string;
    readonly level: LogLevel;
    readonly message: string;
}

function define(code: string, level: LogLevel, message: string): LogEvent {
    return { code, level, message };
}

/** Every log event; codes are never reused. */
export const logEventTable = {
    started: define("RW1001", "info", "listening"),
    stopping: define("RW1002", "info", "planned stop began"),
    stopped: define("RW1003", "info", "stopped"),
    internalFailure: define("RW1004", "error", "internal failure"),
    leaving: define("RW1005", "info", "leaving: off the entry list, still accepting"),
    draining: define("RW1006", "info", "draining: accepting nothing, finishing what runs"),
    stopWouldCut: define("RW1007", "warn", "the stop's time bound is near and would cut requests"),
    stopCut: define("RW1008", "error", "the stop's time bound cut requests"),
    catalogueAdvanced: define("RW2001", "info", "catalogue change accepted"),
    catalogueConflict: define("RW2002", "warn", "catalogue change rejected: based on an older revision"),
    catalogueMalformed: define("RW2003", "error", "catalogue record rejected: malformed"),
    logUnreachable: define("RW2004", "warn", "log not reachable"),
    logReachable: define("RW2005", "info", "log reachable again"),
    catalogueGap: define(
        "RW2006",
        "error",
        "catalogue records are gone from the log; a snapshot or a peer must bridge",
    ),
    catalogueBridged: define("RW2007", "info", "catalogue bridged by a snapshot"),
    logBehind: define("RW2008", "error", "log ends before the catalogue's offset; the catalogue stays in force"),
    catalogueRepeated: define("RW2009", "info", "catalogue change appended again; its first verdict holds"),
    snapshotWritten: define("RW2010", "info", "catalogue snapshot written"),
    leaseTaken: define("RW2101", "info", "order lease taken"),
    leaseLost: define("RW2102", "warn", "order lease lost"),
    orderSent: define("RW2103", "info", "order sent to an engine"),
    orderFailed: define("RW2104", "warn", "order not answered by an engine"),
    orderEnded: define("RW2105", "info", "operator's order ended"),
    rolloutDone: define("RW2106", "info", "rollout of a weights version done"),
    requestEnded: define("RW3001", "debug", "request ended"),
    requestRefused: define("RW3002", "info", "request refused"),
    answerMismatched: define("RW3003", "warn", "upstream answer discarded: wrong correlation id"),
    processPaused: define("RW3004", "warn", "process was paused: kept connections are given up"),
    requestRepeated: define("RW3005", "info", "request sent again to another upstream"),
    requestSent: define("RW3006", "info", "request sent to an upstream"),
    sendEnded: define("RW3007", "info", "send ended without a whole answer"),
    streamCut: define("RW3008", "warn", "stream broken off"),
    requestServed: define("RW3009", "info", "request ended"),
    foreignAnswer: define("RW3010", "warn", "upstream answer discarded: it belongs to another request"),
    clientError: define("RW3011", "info", "connection of a caller closed: not a valid request"),
    peerRejected: define("RW4001", "warn", "peer call rejected: wrong secret"),
    memberChanged: define("RW4002", "info", "a member of the fleet changed its state"),
    seatsHandedOver: define("RW4003", "info", "a standby keeps this instance's seats while the log is down"),
    seatsLost: define(
        "RW4004",
        "warn",
        "seats neither released on the log nor kept by a standby; unused until their lease ends",
    ),
    storeLost: define("RW5001", "warn", "store not reachable"),
    storeRegained: define("RW5002", "info", "store reachable again"),
    configurationInForce: define("RW5003", "info", "configuration in force"),
    recordRejected: define("RW5004", "warn", "record of the store rejected: malformed"),
    upstreamChanged: define("RW5005", "info", "an upstream changed"),
    weightsNamed: define("RW5006", "info", "newer weights named"),
    peerStateTaken: define("RW5007", "info", "state taken from a peer"),
    topicTruncated: define("RW5008", "warn", "records of a topic are gone; reading the newest of each key"),
    settingsReloaded: define("RW5010", "info", "settings read again"),
    loadEnded: define("RW5011", "info", "loading of weights at an engine ended"),
    partsListed: define("RW5012", "info", "all prompt parts that a store keeps were read"),
} as const satisfies Record<string, LogEvent>;

/** Name of a log event. */
export type LogEventName = keyof typeof logEventTable;

/** Writes a numbered event with its fields; fields never hold secrets or prompts. */
export type WriteLog = (event: LogEventName, fields?: Readonly<Record<string, unknown>>) => void;
