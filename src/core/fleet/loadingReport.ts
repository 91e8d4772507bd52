/**
 * @module
 * Reports in which the instance that updates the engines' weights tells all others at once which engines load. In a large
 * fleet its heartbeats reach each instance long after a load has ended.
 */
import * as z from "zod";

/** Schema of a report. */
export const loadingReportSchema = z.object({
    /** Name of the instance that orders the loads. */
    loadingBy: z.string().min(1).max(128),
    /** Rises with each report of one incarnation; datagrams overtake each other. */
    sequence: z.number().int().min(0),
    startedAtMs: z.number().int(),
    /** Ids of all engines that load on its order. */
    loading: z.array(z.string().max(128)).max(4_096).readonly(),
}).readonly();

/** One report. */
export type LoadingReport = z.infer<typeof loadingReportSchema>;
