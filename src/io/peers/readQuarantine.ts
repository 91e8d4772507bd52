/**
 * @module
 * Reads and changes the quarantine of prompt parts of an instance at its peer address.
 */
import * as z from "zod";
import { parseJson } from "../../core/_lib/parseJson.js";
import { type QuarantineRecord, quarantineRecordSchema } from "../../core/quarantine/quarantineMessage.js";
import { requestOnce } from "../_lib/requestOnce.js";

/** Path under which instances serve their quarantine. */
export const quarantinePath = "/reedward/quarantine";

const timeoutMs = 5_000;

/**
 * Reads the quarantine.
 *
 * @param address - Peer address of the instance, "ip:port".
 * @returns The entries.
 * @throws Error when the instance does not answer with a list.
 */
export async function readQuarantine(address: string): Promise<readonly QuarantineRecord[]> {
    const answer = await requestOnce(address, quarantinePath, { signal: AbortSignal.timeout(timeoutMs) });
    const records = parseJson(z.array(quarantineRecordSchema), answer.body.toString());
    if (records === undefined) {
        throw new Error(`${address} answered ${answer.status} without a list of quarantined parts`);
    }
    return records;
}

/**
 * Lifts the entry of a part on all instances.
 *
 * @param address - Peer address of any instance, "ip:port".
 * @param part - Id of the part.
 * @returns Whether there was an entry.
 * @throws Error when the instance does not answer.
 */
export async function liftQuarantine(address: string, part: string): Promise<boolean> {
    const path = `${quarantinePath}?part=${encodeURIComponent(part)}`;
    const answer = await requestOnce(address, path, { method: "DELETE", signal: AbortSignal.timeout(timeoutMs) });
    return answer.status === 200;
}
