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
    leaving: define("RW1005", "info", "leaving: removed from the entry list, still accepting requests"),
    draining: define("RW1006", "info", "draining: no new requests, finishing those in progress"),
    stopWouldCut: define("RW1007", "warn", "requests in progress will be aborted at the stop's time limit"),
    stopCut: define("RW1008", "error", "requests aborted at the stop's time limit"),
    listenFailed: define("RW1009", "warn", "address cannot be listened on yet: tried again until it is free"),
    stopAdvanced: define("RW1010", "info", "next phase of the stop"),
    settingsUnusable: define("RW1011", "error", "settings cannot be used: read again until they can"),
    heapNearlyFull: define("RW1012", "warn", "heap of objects nearly full"),
    catalogueAdvanced: define("RW2001", "info", "catalogue change accepted"),
    catalogueConflict: define("RW2002", "warn", "catalogue change rejected: based on an older revision"),
    catalogueMalformed: define("RW2003", "error", "catalogue record rejected: malformed"),
    logUnreachable: define("RW2004", "warn", "log not reachable"),
    logReachable: define("RW2005", "info", "log reachable again"),
    catalogueGap: define(
        "RW2006",
        "error",
        "catalogue records are missing from the log; a snapshot or a peer's state is needed",
    ),
    catalogueBridged: define("RW2007", "info", "catalogue restored from a snapshot"),
    logBehind: define("RW2008", "error", "log ends before the catalogue's offset; the catalogue stays in force"),
    catalogueRepeated: define("RW2009", "info", "catalogue change appended twice; its first verdict remains valid"),
    snapshotWritten: define("RW2010", "info", "catalogue snapshot written"),
    placementWithheld: define("RW2011", "info", "room of upstreams left to more urgent requests"),
    guaranteedTurn: define(
        "RW2012",
        "info",
        "less urgent request placed before more urgent ones: it had had too little",
    ),
    leaseTaken: define("RW2101", "info", "order lease acquired"),
    leaseLost: define("RW2102", "warn", "order lease lost"),
    orderSent: define("RW2103", "info", "order sent to an engine"),
    orderFailed: define("RW2104", "warn", "order not answered by an engine"),
    orderEnded: define("RW2105", "info", "operator's order ended"),
    rolloutDone: define("RW2106", "info", "rollout of a weights version done"),
    leaseAwaited: define("RW2107", "info", "order lease awaited while engines have outdated weights"),
    promptHomesChanged: define("RW2116", "info", "number of engines at which a shared prompt's requests meet changed"),
    requestEnded: define("RW3001", "debug", "request ended"),
    requestRefused: define("RW3002", "info", "request refused"),
    answerMismatched: define("RW3003", "warn", "upstream answer discarded: wrong correlation id"),
    processPaused: define("RW3004", "warn", "process was paused: pooled connections are discarded"),
    requestRepeated: define("RW3005", "info", "request retried on another upstream"),
    requestSent: define("RW3006", "info", "request sent to an upstream"),
    sendEnded: define("RW3007", "info", "send ended without a complete answer"),
    streamCut: define("RW3008", "warn", "stream aborted"),
    requestServed: define("RW3009", "info", "request ended"),
    foreignAnswer: define("RW3010", "warn", "upstream answer discarded: it belongs to another request"),
    clientError: define("RW3011", "info", "connection of a caller closed: not a valid request"),
    answerEndJudged: define("RW3012", "info", "answer ended with its connection or within an event"),
    connectionRefused: define("RW3013", "warn", "connection of a caller closed: as many as allowed are open"),
    requestDiscarded: define("RW3014", "info", "request discarded: its connection was being closed"),
    sendWithdrawn: define("RW3015", "info", "send withdrawn: its run had not begun, and the weights are outdated"),
    connectionEvicted: define(
        "RW3016",
        "info",
        "connection of a caller closed to make room: it made the least progress or held most",
    ),
    queueMet: define("RW3017", "info", "an upstream stated in its answer that other requests wait there"),
    peerRejected: define("RW4001", "warn", "peer call rejected: wrong secret"),
    memberChanged: define("RW4002", "info", "a member of the fleet changed its state"),
    seatsHandedOver: define(
        "RW4003",
        "info",
        "a standby holds this instance's quota shards while the log is unreachable",
    ),
    seatsLost: define(
        "RW4004",
        "warn",
        "quota shards neither released on the log nor held by a standby; unused until their lease ends",
    ),
    storeLost: define("RW5001", "warn", "store not reachable"),
    storeRegained: define("RW5002", "info", "store reachable again"),
    configurationInForce: define("RW5003", "info", "configuration in force"),
    recordRejected: define("RW5004", "warn", "record of the store rejected: malformed"),
    upstreamChanged: define("RW5005", "info", "an upstream changed"),
    weightsNamed: define("RW5006", "info", "newer target weights version"),
    peerStateTaken: define("RW5007", "info", "state copied from a peer"),
    topicTruncated: define(
        "RW5008",
        "warn",
        "records of a topic have been deleted; reading the newest record of each key",
    ),
    settingsReloaded: define("RW5010", "info", "settings reloaded"),
    loadEnded: define("RW5011", "info", "loading of weights at an engine ended"),
    partsListed: define("RW5012", "info", "all cached prompt parts of a store were read"),
    storeEraKnown: define("RW5013", "info", "era of the store known"),
    storeReturned: define("RW5014", "warn", "store came back from an older copy: its topics are read anew"),
    storeEraRejected: define("RW5015", "warn", "answer of the store states no usable era"),
    upstreamsReconciled: define("RW5016", "info", "upstreams reconciled with an older copy of their list"),
    storeReadFailed: define("RW5017", "info", "read of the store failed"),
    peerStateFailed: define("RW5018", "info", "peer did not answer with its state"),
    upstreamEnded: define("RW5019", "warn", "an upstream's process ended under requests"),
    quarantineChanged: define("RW5020", "warn", "a prompt part was judged, or its quarantine changed"),
    upstreamSignalChanged: define(
        "RW5021",
        "info",
        "an upstream stated in an answer which requests it wants, or no longer did",
    ),
    upstreamSignalMalformed: define("RW5022", "warn", "statement of an upstream ignored: malformed"),
    quotaRefused: define("RW6001", "info", "request refused by its customer's quota"),
    quotaOwnerSilent: define("RW6002", "warn", "an instance that grants quotas does not answer and is passed over"),
    quotaSharesChanged: define("RW6003", "info", "the quotas that this instance grants have changed"),
    tokenCountMalformed: define("RW6004", "warn", "token count of a request ignored: malformed"),
} as const satisfies Record<string, LogEvent>;

/** Name of a log event. */
export type LogEventName = keyof typeof logEventTable;

/** Writes a numbered event with its fields; fields never contain secrets or prompts. */
export type WriteLog = (event: LogEventName, fields?: Readonly<Record<string, unknown>>) => void;
