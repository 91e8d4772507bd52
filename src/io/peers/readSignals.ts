/**
 * @module
 * Reads what an instance knows of upstreams from their answers, at its peer address.
 */
import * as z from "zod";
import { parseJson } from "../../core/_lib/parseJson.js";
import { signalReportSchema } from "../../core/signals/signalReport.js";
import { requestOnce } from "../_lib/requestOnce.js";

/** Path under which instances serve what they know of upstreams from their answers. */
export const signalsPath = "/reedward/signals";

const timeoutMs = 5_000;

const listedSignalSchema = z.object({
    report: signalReportSchema,
    /** Requests per second that all instances together send to the upstream now; left out when they are not limited. */
    ratePerSecond: z.number().optional(),
    /** Instance that issues permits of a rate-limited upstream. */
    owner: z.string().optional(),
}).readonly();

/** What an upstream has stated, and what follows from it. */
export type ListedSignal = z.infer<typeof listedSignalSchema>;

/**
 * Reads the list.
 *
 * @param address - Peer address of the instance, "ip:port".
 * @returns The signals.
 * @throws Error when the instance does not answer with a list.
 */
export async function readSignals(address: string): Promise<readonly ListedSignal[]> {
    const answer = await requestOnce(address, signalsPath, { signal: AbortSignal.timeout(timeoutMs) });
    const signals = parseJson(z.array(listedSignalSchema), answer.body.toString());
    if (signals === undefined) {
        throw new Error(`${address} answered ${answer.status} without a list of signals`);
    }
    return signals;
}
