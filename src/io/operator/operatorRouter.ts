/**
 * @module
 * The tRPC router for reedwardctl. Every call carries the operator secret.
 */
import { z } from "zod";
import type { ChangeVerdict } from "../../core/catalogue/foldVerdict.js";
import type { CatalogueSnapshot } from "../../core/catalogue/snapshot.js";
import type { Member } from "../../core/membership/memberTypes.js";
import { requireCaller, trpc } from "../peers/trpcBase.js";

/** State of one instance as reedwardctl shows it. */
export interface InstanceStatus {
    readonly instance: string;
    readonly isReady: boolean;
    readonly nextOffset: number;
    readonly logContactAgeMs: number | undefined;
    readonly members: readonly Member[];
}

/** What became of an operator's change. */
export interface ApplyAnswer {
    readonly outcome: "accepted" | "conflict" | "malformed" | "unknown" | "notRun";
    readonly verdict: ChangeVerdict | undefined;
    readonly detail: string;
}

/** What the instance answers to operators. */
export interface OperatorService {
    readonly status: () => InstanceStatus;
    readonly readCatalogue: () => CatalogueSnapshot;
    readonly applyChange: (payload: string) => Promise<ApplyAnswer>;
}

/** Largest change, in characters. */
const maxChangeCharacters = 1 << 20;

/**
 * Creates the operators' router.
 *
 * @param service - Answers operators.
 * @returns The router.
 */
export function createOperatorRouter(service: OperatorService) {
    const operatorProcedure = requireCaller("operator");
    const change = z.string().max(maxChangeCharacters);
    return trpc.router({
        status: operatorProcedure.query(() => service.status()),
        readCatalogue: operatorProcedure.query(() => service.readCatalogue()),
        applyChange: operatorProcedure.input(change).mutation(({ input }) => service.applyChange(input)),
    });
}
