/**
 * @module
 * Reports in which instances tell each other at once which prompt parts an engine is about to prefill. Events of engines
 * tell it only after the prefill; until then others would have the same parts prefilled by another engine.
 */
import * as z from "zod";

const prefillSchema = z.object({
    engine: z.string(),
    /** Salt under which the parts will be cached. */
    salt: z.string(),
    /** Shared parts from the start of a prompt. */
    parts: z.array(z.object({ id: z.string(), tokens: z.number().int().min(0) }).readonly()).readonly(),
}).readonly();

/** Shared parts that an engine is about to prefill. */
export type Prefill = z.infer<typeof prefillSchema>;

/** Schema of a report. */
export const prefillReportSchema = z.object({ prefills: z.array(prefillSchema).readonly() }).readonly();

/** One report. */
export type PrefillReport = z.infer<typeof prefillReportSchema>;
