/**
 * @module
 * Snapshot of the catalogue as sent between processes and stored in the log.
 */
import * as z from "zod";
import type { Catalogue, HeldEntry } from "./catalogue.js";
import { catalogueEntrySchema } from "./catalogueEntry.js";
import type { ChangeVerdict } from "./foldVerdict.js";
import { type AnnouncedLoad, type HeldOrder, orderSchema } from "./orderRecord.js";

/** A complete catalogue without maps, for serialization. */
export interface CatalogueSnapshot {
    readonly nextOffset: number;
    readonly entries: readonly HeldEntry[];
    /** Verdicts on the latest changes, oldest first. */
    readonly changes: readonly ChangeVerdict[];
    /** Operators' orders, oldest first. */
    readonly orders: readonly HeldOrder[];
    /** Announced loads with their upstreams. */
    readonly loads: readonly { readonly upstream: string; readonly mark: AnnouncedLoad; }[];
    readonly fence: number;
}

const offset = z.number().int().min(0);
const changeId = z.string().min(8).max(64);

/** Schema of a snapshot. */
export const catalogueSnapshotSchema = z.object({
    nextOffset: offset,
    entries: z.array(z.object({
        entry: catalogueEntrySchema,
        revision: offset,
        rollout: z.object({
            from: z.string(),
            moved: z.record(z.string(), z.string()),
        }).exactOptional(),
    })).max(20_000),
    changes: z.array(z.discriminatedUnion("kind", [
        z.object({ kind: z.literal("accepted"), changeId, revision: offset, author: z.string() }),
        z.object({ kind: z.literal("conflict"), changeId, key: z.string(), revision: offset }),
    ])).max(1_024),
    orders: z.array(z.object({
        order: orderSchema,
        end: z.object({ outcome: z.enum(["done", "expired"]), detail: z.string() }).exactOptional(),
    })).max(1_024),
    loads: z.array(z.object({
        upstream: z.string(),
        mark: z.object({ model: z.string(), weightsVersion: z.string(), orderId: z.string().exactOptional() }),
    })).max(20_000),
    fence: z.number().int().min(-1),
});

/**
 * Converts a catalogue to its serializable form.
 *
 * @param catalogue - The catalogue.
 * @returns The snapshot.
 * @example
 * JSON.stringify(catalogueToSnapshot(catalogue));
 */
export function catalogueToSnapshot(catalogue: Catalogue): CatalogueSnapshot {
    return {
        nextOffset: catalogue.nextOffset,
        entries: [...catalogue.entries.values()],
        changes: [...catalogue.changes.values()],
        orders: [...catalogue.orders.values()],
        loads: [...catalogue.loads].map(([upstream, mark]) => ({ upstream, mark })),
        fence: catalogue.fence,
    };
}

/**
 * Converts a received snapshot.
 *
 * @param snapshot - The snapshot.
 * @returns The catalogue.
 * @example
 * catalogueFromSnapshot(catalogueToSnapshot(catalogue)); // equals catalogue
 */
export function catalogueFromSnapshot(snapshot: CatalogueSnapshot): Catalogue {
    const entries = snapshot.entries.map(held => [`${held.entry.kind}/${held.entry.id}`, held] as const);
    const changes = snapshot.changes.map(verdict => [verdict.changeId, verdict] as const);
    return {
        nextOffset: snapshot.nextOffset,
        entries: new Map(entries),
        changes: new Map(changes),
        orders: new Map(snapshot.orders.map(held => [held.order.orderId, held])),
        loads: new Map(snapshot.loads.map(({ upstream, mark }) => [upstream, mark])),
        fence: snapshot.fence,
    };
}
