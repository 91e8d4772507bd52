/**
 * @module
 * Draws a trouble for each order to stop or reload, and plays it some time after the order.
 */
import { readSharedClock } from "./readSharedClock.js";
import type { EngineTrouble, TroubleKind, TroubleRecord } from "./troubleTypes.js";

/** Which troubles are played, and when. What is undefined is drawn for each trouble. */
export interface TroubleOptions {
    /** Troubles that are drawn from; none if empty. */
    readonly kinds: readonly TroubleKind[];
    /** Time from an order to its trouble, in milliseconds. */
    readonly afterMs?: number | undefined;
    /** Time for which a trouble lasts, in milliseconds. */
    readonly lastsMs?: number | undefined;
    /** Share of the engines that a trouble meets. */
    readonly share?: number | undefined;
}

/** What troubles act on. */
export interface TroubledDeployment {
    /** Names of the engines. */
    readonly engines: readonly string[];
    /** Names of the engines and of the other upstreams. */
    readonly upstreams: readonly string[];
    readonly random: () => number;
    readonly disturb: (trouble: EngineTrouble) => void;
    /** Lets the store answer some calls without end, for a time in milliseconds. */
    readonly disturbStore: (lastsMs: number) => void;
    readonly nameVersion: () => void;
    readonly reconfigure: () => void;
}

/** The troubles of a run. */
export interface Troubles {
    readonly records: readonly TroubleRecord[];
    /** Draws a trouble that follows an order to an instance. */
    readonly follow: () => void;
    /** Keeps the troubles that have not begun from beginning. */
    readonly stop: () => void;
}

const maxAfterMs = 7_500;
const minLastsMs = 1_000;
const maxLastsMs = 4_000;
const partialShare = 0.5;
const sameAddressShare = 0.5;
const storeShare = 0.3;

/**
 * Prepares the troubles of a run.
 *
 * @param options - Which troubles are played, and when.
 * @param deployment - What they act on.
 * @returns The troubles; none has begun yet.
 */
export function createTroubles(options: TroubleOptions, deployment: TroubledDeployment): Troubles {
    const { random } = deployment;
    const records: TroubleRecord[] = [];
    const timers = new Set<NodeJS.Timeout>();

    /** Draws the upstreams whose answers do not end: one, if no share is chosen. */
    function drawEndless(): readonly string[] {
        const { upstreams } = deployment;
        const { share } = options;
        return share === undefined
            ? [upstreams[Math.floor(random() * upstreams.length)]!]
            : upstreams.filter(() => random() < share);
    }

    function begin(kind: TroubleKind, trouble: Omit<EngineTrouble, "kind">): void {
        const beganMs = readSharedClock();
        const isOperator = kind === "load" || kind === "reconfigure";
        records.push({
            kind,
            engines: isOperator ? deployment.engines.length : trouble.engines.length,
            beganMs,
            endMs: isOperator ? beganMs : beganMs + trouble.lastsMs,
        });
        if (kind === "load") {
            deployment.nameVersion();
        }
        else if (kind === "reconfigure") {
            deployment.reconfigure();
        }
        else {
            deployment.disturb({ ...trouble, kind });
        }
    }

    return {
        records,
        follow: () => {
            const kind = options.kinds[Math.floor(random() * options.kinds.length)];
            if (kind === undefined) {
                return;
            }
            const afterMs = options.afterMs ?? random() * maxAfterMs;
            const lastsMs = options.lastsMs ?? minLastsMs + random() * (maxLastsMs - minLastsMs);
            const share = options.share ?? (random() < partialShare ? partialShare : 1);
            const engines = deployment.engines.filter(() => random() < share);
            const keepsAddress = random() < sameAddressShare;
            const met = kind === "endless" ? drawEndless() : engines;
            const meetsStore = kind === "endless" && random() < storeShare;
            const timer = setTimeout(() => {
                timers.delete(timer);
                begin(kind, { engines: met, lastsMs, keepsAddress });
                if (meetsStore) {
                    deployment.disturbStore(lastsMs);
                }
            }, afterMs);
            timers.add(timer);
        },
        stop: () => timers.forEach(timer => clearTimeout(timer)),
    };
}
