/**
 * @module
 * Implementation of the operator calls of reedwardctl.
 */
import { catalogueToSnapshot } from "../../core/catalogue/snapshot.js";
import type { Member } from "../../core/membership/memberTypes.js";
import type { EnginePort } from "../../core/ports/enginePort.js";
import type { LogPort } from "../../core/ports/logPort.js";
import type { Clock } from "../../core/time/clock.js";
import type { ReportBuffer } from "../../core/why/createReportBuffer.js";
import { applyChange } from "../catalogue/applyChange.js";
import type { CatalogueFollower } from "../catalogue/followCatalogue.js";
import type { CustomerUseReport } from "../limits/readCustomerUse.js";
import { giveOrder } from "../orders/giveOrder.js";
import type { OperatorService } from "./operatorRouter.js";
import { readUpstreamStates } from "./readUpstreamStates.js";

/** Dependencies of {@link createOperatorService}. */
export interface OperatorServiceDependencies {
    readonly instance: string;
    readonly log: LogPort | undefined;
    readonly clock: Clock;
    readonly follower: () => CatalogueFollower;
    readonly members: () => readonly Member[];
    readonly isReady: () => boolean;
    readonly readState: EnginePort["readState"];
    readonly reports: ReportBuffer;
    readonly readCustomerUse: () => Promise<CustomerUseReport>;
}

/**
 * Creates the service.
 *
 * @param dependencies - The instance's parts.
 * @returns The service that the operators' router calls.
 */
export function createOperatorService(dependencies: OperatorServiceDependencies): OperatorService {
    const { log, clock, follower } = dependencies;
    return {
        status: () => ({
            instance: dependencies.instance,
            isReady: dependencies.isReady(),
            isLoaded: follower().isLoaded(),
            nextOffset: follower().current().nextOffset,
            logContactAgeMs: follower().logContactAgeMs(),
            members: dependencies.members(),
        }),
        readCatalogue: () => catalogueToSnapshot(follower().current()),
        applyChange: payload => applyChange(payload, { log, clock, follower: follower() }),
        giveOrder: payload => giveOrder(payload, { log, clock, follower: follower() }),
        readUpstreamStates: () => readUpstreamStates(follower().current(), dependencies.readState),
        readCustomerUse: dependencies.readCustomerUse,
        why: requestId => dependencies.reports.find(requestId),
    };
}
