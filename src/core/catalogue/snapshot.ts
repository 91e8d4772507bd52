/**
 * @module
 * The whole catalogue as it is sent between processes and kept on the log.
 */
import { z } from "zod";
import type { Catalogue, HeldEntry } from "./catalogue.js";
import { catalogueEntrySchema } from "./catalogueEntry.js";
import type { ChangeVerdict } from "./foldVerdict.js";

/** A whole catalogue without maps. */
export interface CatalogueSnapshot {
    readonly nextOffset: number;
    readonly entries: readonly HeldEntry[];
    /** Verdicts on the latest changes, oldest first. */
    readonly changes: readonly ChangeVerdict[];
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
            begun: z.array(z.string()),
            moved: z.record(z.string(), z.string()),
        }).exactOptional(),
    })).max(20_000),
    changes: z.array(z.discriminatedUnion("kind", [
        z.object({ kind: z.literal("accepted"), changeId }),
        z.object({ kind: z.literal("conflict"), changeId, key: z.string(), revision: offset }),
    ])).max(1_024),
});

/**
 * Converts a catalogue for sending.
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
    return { nextOffset: snapshot.nextOffset, entries: new Map(entries), changes: new Map(changes) };
}
