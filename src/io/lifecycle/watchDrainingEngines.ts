/**
 * @module
 * Polls the load of engines to detect which are draining. One instance polls each engine and informs the others.
 */
import { hashText } from "../../core/_lib/hashText.js";
import { scoreRendezvous } from "../../core/_lib/scoreRendezvous.js";
import type { Upstream } from "../../core/catalogue/catalogueEntry.js";
import type { MembershipView } from "../../core/membership/memberTypes.js";
import type { EnginePort } from "../../core/ports/enginePort.js";
import type { Clock } from "../../core/time/clock.js";
import { repeatEvery } from "../../core/time/repeatEvery.js";

/** Dependencies of {@link watchDrainingEngines}. */
export interface EngineWatchDependencies {
    readonly clock: Clock;
    readonly readLoad: EnginePort["readLoad"];
    readonly listEngines: () => readonly Upstream[];
    readonly membership: () => MembershipView;
    /** Receives whether an engine is draining. */
    readonly recordEngine: (address: string, isDraining: boolean) => void;
}

/** The running watch. */
export interface EngineWatch {
    /** Polls one engine now, as after it answered that it did not run a request. */
    readonly readNow: (address: string) => void;
    readonly stop: () => void;
}

const pollIntervalMs = 1_500;

function isOwner(view: MembershipView, upstream: Upstream): boolean {
    const key = hashText(upstream.id);
    const own = scoreRendezvous(key, view.self.instance);
    return view.members.every(member =>
        member.state !== "alive" || member.instance === view.self.instance
        || scoreRendezvous(key, member.instance) < own
    );
}

/**
 * Starts to watch the engines.
 *
 * @param dependencies - The engines, the members of the fleet and the receiver of the states.
 * @returns The running watch.
 */
export function watchDrainingEngines(dependencies: EngineWatchDependencies): EngineWatch {
    const pending = new Set<string>();
    let isStopped = false;

    async function read(address: string): Promise<void> {
        if (pending.has(address)) {
            return;
        }
        pending.add(address);
        const load = await dependencies.readLoad(address);
        pending.delete(address);
        if (load.isOk && !isStopped) {
            dependencies.recordEngine(address, load.value.leaving);
        }
    }

    function pollOwned(): void {
        const view = dependencies.membership();
        for (const engine of dependencies.listEngines().filter(one => isOwner(view, one))) {
            void read(engine.address);
        }
    }

    const stopPolling = repeatEvery(dependencies.clock, pollIntervalMs, pollOwned);
    return {
        readNow: address => void read(address),
        stop: () => {
            isStopped = true;
            stopPolling();
        },
    };
}
