/**
 * @module
 * The tRPC router for reedwardctl. Every call carries the operator secret.
 */
import * as z from "zod";
import type { ChangeVerdict } from "../../core/catalogue/foldVerdict.js";
import type { CatalogueSnapshot } from "../../core/catalogue/snapshot.js";
import type { Member } from "../../core/membership/memberTypes.js";
import type { RequestReport } from "../../core/why/createReportBuffer.js";
import type { CustomerUseReport } from "../limits/readCustomerUse.js";
import { requireCaller, trpc } from "../peers/trpcBase.js";
import type { UpstreamState } from "./readUpstreamStates.js";

/** State of one instance, as shown by reedwardctl. */
export interface InstanceStatus {
    readonly instance: string;
    readonly isReady: boolean;
    /** Whether the instance has the catalogue. */
    readonly isLoaded: boolean;
    /** Offset after the last record that is folded into its catalogue. */
    readonly nextOffset: number;
    readonly logContactAgeMs?: number | undefined;
    readonly members: readonly Member[];
}

/** Outcome of an operator's change. */
export interface ApplyAnswer {
    readonly outcome: "accepted" | "conflict" | "malformed" | "unknown" | "notRun";
    readonly verdict?: ChangeVerdict | undefined;
    readonly detail: string;
}

/** Outcome of an operator's order. */
export interface OrderAnswer {
    readonly outcome: "accepted" | "malformed" | "unknown" | "notRun";
    readonly detail: string;
}

/** Calls that an instance offers to operators. */
export interface OperatorService {
    readonly status: () => InstanceStatus;
    readonly readCatalogue: () => CatalogueSnapshot;
    readonly applyChange: (payload: string) => Promise<ApplyAnswer>;
    readonly giveOrder: (payload: string) => Promise<OrderAnswer>;
    readonly readUpstreamStates: () => Promise<readonly UpstreamState[]>;
    /** Use of every customer's limits over the whole fleet. */
    readonly readCustomerUse: () => Promise<CustomerUseReport>;
    /** Report of an ended request, while it is in the ring buffer. */
    readonly why: (requestId: string) => RequestReport | undefined;
}

/** Largest change, in characters. */
const maxChangeCharacters = 1 << 20;

/** Largest order, in characters. */
const maxOrderCharacters = 4_096;

/**
 * Creates the operators' router.
 *
 * @param service - Performs the calls.
 * @returns The router.
 */
export function createOperatorRouter(service: OperatorService) {
    const operatorProcedure = requireCaller("operator");
    const requestId = z.string().min(1).max(64);
    const order = z.string().max(maxOrderCharacters);
    const change = z.string().max(maxChangeCharacters);
    return trpc.router({
        status: operatorProcedure.query(() => service.status()),
        readCatalogue: operatorProcedure.query(() => service.readCatalogue()),
        applyChange: operatorProcedure.input(change).mutation(({ input }) => service.applyChange(input)),
        giveOrder: operatorProcedure.input(order).mutation(({ input }) => service.giveOrder(input)),
        readUpstreamStates: operatorProcedure.query(() => service.readUpstreamStates()),
        customers: operatorProcedure.query(() => service.readCustomerUse()),
        why: operatorProcedure.input(requestId).query(({ input }) => service.why(input)),
    });
}
