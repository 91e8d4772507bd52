/**
 * @module
 * Assembles the guard that keeps prompts which end engines from ending more of them.
 */
import { createPartGuard } from "../core/quarantine/createPartGuard.js";
import type { PartGuard, QuarantineChange } from "../core/quarantine/partGuardTypes.js";
import type { QuarantineMessage } from "../core/quarantine/quarantineMessage.js";
import { keepQuarantine } from "../io/quarantine/keepQuarantine.js";
import { assembleEndTracking, type SendObserver } from "./assembleEndTracking.js";
import type { InstanceContext } from "./routerPorts.js";

/** The other instances, as the guard sees them. */
export interface QuarantinePeers {
    readonly listOthers: () => readonly string[];
    readonly send: (names: readonly string[], message: QuarantineMessage) => void;
    /** Whether this instance reads the store for the others. */
    readonly isReader: () => boolean;
}

/** The guard with the observation of sends. */
export interface InstanceQuarantine {
    readonly guard: PartGuard;
    readonly sends: SendObserver;
    /** Calls `action` after each change that concerns requests which wait. */
    readonly onChange: (action: () => void) => void;
    /** Forgets what is in progress, after a pause of the process. */
    readonly clear: () => void;
    readonly stop: () => void;
}

/**
 * Assembles the guard.
 *
 * @param context - The instance.
 * @param peers - The other instances.
 * @returns The guard and the observer of sends.
 */
export function assembleQuarantine(context: InstanceContext, peers: QuarantinePeers): InstanceQuarantine {
    const { clock, settings, ports, writeLog, metrics } = context;
    const listeners: (() => void)[] = [];

    function recordChange({ part, change, suspicion }: QuarantineChange): void {
        metrics.quarantineChanges.inc({ change });
        const evidence = suspicion === undefined ? {} : {
            engines: suspicion.engines,
            requests: suspicion.requests,
            otherRequests: suspicion.otherRequests,
            moments: suspicion.moments,
            coverage: Math.round(suspicion.coverage * 100) / 100,
            sinceMs: Math.round(clock.now() - suspicion.firstEndMs),
        };
        writeLog("quarantineChanged", { part, change, ...evidence });
        listeners.forEach(action => action());
    }

    const guard = createPartGuard({
        clock,
        self: settings.instance,
        listOthers: peers.listOthers,
        send: peers.send,
        onChange: recordChange,
        keep: record => kept.keep(record),
    });
    const kept = keepQuarantine({
        clock,
        store: ports.store,
        topic: ports.topics.quarantine,
        isReader: peers.isReader,
        restore: guard.restore,
        writeLog,
    });
    const tracking = assembleEndTracking(context, { onEnd: guard.recordEnd, onSettled: guard.recordAnswer });
    return {
        guard,
        sends: {
            ...tracking,
            recordOutcome: (req, outcome) => {
                tracking.recordOutcome(req, outcome);
                if (outcome.kind !== "notSent" && outcome.kind !== "rejected") {
                    guard.endProbe(req.id);
                }
            },
        },
        onChange: action => {
            listeners.push(action);
        },
        clear: () => {
            tracking.clear();
            guard.clear();
        },
        stop: kept.stop,
    };
}
