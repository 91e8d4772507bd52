/**
 * @module
 * Reads the load of engines to learn which of them leave. Each engine is read by one instance, which tells the others.
 */
import { hashText } from "../../core/_lib/hashText.js";
import { scoreRendezvous } from "../../core/_lib/scoreRendezvous.js";
import type { Upstream } from "../../core/catalogue/catalogueEntry.js";
import type { MembershipView } from "../../core/membership/memberTypes.js";
import type { EnginePort } from "../../core/ports/enginePort.js";
import type { Clock } from "../../core/time/clock.js";
import { repeatEvery } from "../../core/time/repeatEvery.js";

/** What watching needs. */
export interface EngineWatchDependencies {
    readonly clock: Clock;
    readonly readLoad: EnginePort["readLoad"];
    readonly listEngines: () => readonly Upstream[];
    readonly membership: () => MembershipView;
    readonly recordEngine: (address: string, isLeaving: boolean) => void;
}

/** The running watch. */
export interface EngineWatch {
    /** Reads one engine now, as after an answer that it did not run a request. */
    readonly readNow: (address: string) => void;
    readonly stop: () => void;
}

const readPeriodMs = 1_500;

function isOwner(view: MembershipView, upstream: Upstream): boolean {
    const key = hashText(upstream.id);
    const own = scoreRendezvous(key, view.self.instance);
    return view.members.every(member =>
        member.state !== "alive" || member.instance === view.self.instance
        || scoreRendezvous(key, member.instance) < own
    );
}

/**
 * Starts watching.
 *
 * @param dependencies - The engines, the members and where leaves are noted.
 * @returns The running watch.
 */
export function watchDrainingEngines(dependencies: EngineWatchDependencies): EngineWatch {
    const reading = new Set<string>();
    let isStopped = false;

    async function read(address: string): Promise<void> {
        if (reading.has(address)) {
            return;
        }
        reading.add(address);
        const load = await dependencies.readLoad(address);
        reading.delete(address);
        if (load.isOk && !isStopped) {
            dependencies.recordEngine(address, load.value.leaving);
        }
    }

    function readOwned(): void {
        const view = dependencies.membership();
        for (const engine of dependencies.listEngines().filter(one => isOwner(view, one))) {
            void read(engine.address);
        }
    }

    const stopReading = repeatEvery(dependencies.clock, readPeriodMs, readOwned);
    return {
        readNow: address => void read(address),
        stop: () => {
            isStopped = true;
            stopReading();
        },
    };
}
