/**
 * @module
 * Reports changes of the store's era, and lets the rollout lease know of them.
 */
import type { StoreEraEvent } from "../core/store/createStoreEra.js";
import type { RolloutLease } from "../core/weights/createRolloutLease.js";
import type { InstanceContext } from "./routerPorts.js";

/**
 * Watches the era of the store. What follows from a return of the store lies with those that keep something of it; the
 * followers of its topics see it by themselves.
 *
 * @param context - The instance.
 * @param lease - The rollout lease.
 */
export function watchStoreEra(context: InstanceContext, lease: RolloutLease): void {
    const { clock, metrics, ports, writeLog } = context;

    function handleReturn(event: Extract<StoreEraEvent, { readonly kind: "returned"; }>): void {
        const relinquishedLease = lease.heldClaim(clock.now()) !== undefined;
        lease.recordEra(event.era, clock.now());
        metrics.storeReturns.inc();
        writeLog("storeReturned", { era: event.era, previousEra: event.previousEra, relinquishedLease });
    }

    ports.storeEra.subscribe(event => {
        switch (event.kind) {
            case "known":
                lease.recordEra(event.era, clock.now());
                writeLog("storeEraKnown", { era: event.era });
                return;
            case "returned":
                handleReturn(event);
                return;
            case "rejected":
                writeLog("storeEraRejected", { stated: event.stated, era: event.era });
                return;
        }
    });
}
