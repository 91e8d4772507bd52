/**
 * @module
 * Every setting of the daemon: flag, environment variable, check and description.
 */
import * as z from "zod";

const hostAndPort = z.string().regex(
    /^[0-9a-fA-F.:[\]]+:\d{1,5}$/,
    "expected an IP address and a port, as 10.0.0.1:8080",
);
const optionalUrl = z.url({ protocol: /^https?$/, error: "expected an http or https URL" }).optional();
const name = z.string().regex(/^[a-z0-9][a-z0-9._-]{0,62}$/, "expected 1 to 63 of a-z, 0-9, \".\", \"_\", \"-\"");

function integer(least: number, most: number): z.ZodType<number> {
    const message = `expected an integer from ${least} to ${most}`;
    return z.coerce.number({ error: message }).int(message).min(least, message).max(most, message);
}

function addressList(): z.ZodType<readonly string[]> {
    return z.string().transform(text => text.split(",").map(one => one.trim()).filter(one => one !== ""))
        .pipe(z.array(hostAndPort));
}

/** One setting of the daemon. */
export interface SettingDefinition {
    /** Flag without dashes; the environment variable is REEDWARD_ and the flag in capitals with underscores. */
    readonly flag: string;
    readonly schema: z.ZodType;
    /** Value when neither flag nor variable is given; undefined makes an optional setting absent. */
    readonly fallback: string | undefined;
    readonly isRequired: boolean;
    readonly isSecret: boolean;
    readonly description: string;
}

function define(
    flag: string,
    schema: z.ZodType,
    fallback: string | undefined,
    description: string,
    traits: { readonly isRequired?: boolean; readonly isSecret?: boolean; } = {},
): SettingDefinition {
    return {
        flag,
        schema,
        fallback,
        description,
        isRequired: traits.isRequired ?? false,
        isSecret: traits.isSecret ?? false,
    };
}

/** The settings by name. */
export const settingsTable = {
    instance: define("instance", name, undefined, "Name of this instance, unique in the fleet.", { isRequired: true }),
    failureDomain: define("failure-domain", name, undefined, "Failure domain of this instance.", { isRequired: true }),
    listen: define("listen", hostAndPort, "127.0.0.1:8080", "Address for callers."),
    peerListen: define("peer-listen", hostAndPort, "127.0.0.1:8081", "Address for peers and reedwardctl."),
    advertise: define("advertise", hostAndPort.optional(), undefined, "Address announced to callers, if not --listen."),
    peerAdvertise: define(
        "peer-advertise",
        hostAndPort.optional(),
        undefined,
        "Address announced to peers, if not --peer-listen.",
    ),
    seeds: define("seeds", addressList(), "", "Peer addresses to join through, separated by commas."),
    peerSecret: define(
        "peer-secret",
        z.string().min(16, "expected at least 16 characters"),
        undefined,
        "Secret shared by all instances.",
        { isRequired: true, isSecret: true },
    ),
    operatorSecret: define(
        "operator-secret",
        z.string().min(16, "expected at least 16 characters"),
        undefined,
        "Secret of reedwardctl.",
        { isRequired: true, isSecret: true },
    ),
    logUrl: define("log-url", optionalUrl, undefined, "Base URL of the platform's log."),
    logRetentionMs: define(
        "log-retention-ms",
        integer(60_000, 10_000_000_000),
        "86400000",
        "Retention time of the log's records, in ms.",
    ),
    instanceListUrl: define("instance-list-url", optionalUrl, undefined, "URL of the platform's instance list."),
    weightStoreUrl: define("weight-store-url", optionalUrl, undefined, "Base URL of the weight store."),
    kvStoreUrl: define("kv-store-url", optionalUrl, undefined, "Base URL of the KV store."),
    logLevel: define("log-level", z.enum(["debug", "info", "warn", "error"]), "info", "Minimum level of log events."),
    maxBodyBytes: define("max-body-bytes", integer(1024, 1 << 28), "4194304", "Largest request body, in bytes."),
    maxHeaderBytes: define(
        "max-header-bytes",
        integer(1024, 1 << 20),
        "16384",
        "Largest request header block, in bytes.",
    ),
    maxHeaderCount: define("max-header-count", integer(8, 1000), "64", "Maximum number of request headers."),
    maxConnections: define(
        "max-connections",
        integer(1, 100_000),
        "4096",
        "Maximum number of open caller connections.",
    ),
    bodyTimeoutMs: define("body-timeout-ms", integer(10, 600_000), "10000", "Time for a request to arrive, in ms."),
    defaultDeadlineMs: define(
        "default-deadline-ms",
        integer(100, 3_600_000),
        "120000",
        "Deadline of a request that names none, in ms.",
    ),
    connectTimeoutMs: define(
        "connect-timeout-ms",
        integer(10, 60_000),
        "1000",
        "Time to connect to an upstream, in ms.",
    ),
    silenceTimeoutMs: define(
        "silence-timeout-ms",
        integer(10, 600_000),
        "5000",
        "Idle time after which a connection is closed, in ms.",
    ),
    entryLifetimeMs: define(
        "entry-lifetime-ms",
        integer(100, 600_000),
        "10000",
        "Time for which callers may cache the entry list, in ms.",
    ),
    entryLimit: define("entry-limit", integer(1, 100), "4", "Maximum number of entries listed for a customer."),
    stopBoundMs: define("stop-bound-ms", integer(1000, 3_600_000), "180000", "Upper bound of a planned stop, in ms."),
    hintMemoryBytes: define(
        "hint-memory-bytes",
        integer(1 << 16, 1 << 30),
        "12582912",
        "Memory of the cache view, in bytes.",
    ),
    eventBytesPerSecond: define(
        "event-bytes-per-second",
        integer(0, 1 << 24),
        "65536",
        "Cache events read from engines, in bytes a second; 0 reads none.",
    ),
} as const satisfies Record<string, SettingDefinition>;

/** Name of a setting in code. */
export type SettingName = keyof typeof settingsTable;

/** The checked settings. */
export interface Settings {
    readonly instance: string;
    readonly failureDomain: string;
    readonly listen: string;
    readonly peerListen: string;
    readonly advertise: string | undefined;
    readonly peerAdvertise: string | undefined;
    readonly seeds: readonly string[];
    readonly peerSecret: string;
    readonly operatorSecret: string;
    readonly logUrl: string | undefined;
    readonly logRetentionMs: number;
    readonly instanceListUrl: string | undefined;
    readonly weightStoreUrl: string | undefined;
    readonly kvStoreUrl: string | undefined;
    readonly logLevel: "debug" | "info" | "warn" | "error";
    readonly maxBodyBytes: number;
    readonly maxHeaderBytes: number;
    readonly maxHeaderCount: number;
    readonly maxConnections: number;
    readonly bodyTimeoutMs: number;
    readonly defaultDeadlineMs: number;
    readonly connectTimeoutMs: number;
    readonly silenceTimeoutMs: number;
    readonly entryLifetimeMs: number;
    readonly entryLimit: number;
    readonly stopBoundMs: number;
    readonly hintMemoryBytes: number;
    readonly eventBytesPerSecond: number;
}
