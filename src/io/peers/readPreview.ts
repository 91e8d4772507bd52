/**
 * @module
 * Asks an instance at its peer address where it would send a request now; the request is not sent.
 */
import { parseJson } from "../../core/_lib/parseJson.js";
import {
    type PlacementPreview,
    placementPreviewSchema,
    type RequestDescription,
} from "../../core/placement/placementPreview.js";
import { requestOnce } from "../_lib/requestOnce.js";

/** Path under which instances answer. */
export const previewPath = "/reedward/preview";

/** Name of the query parameter with the description as JSON. */
export const previewParameter = "request";

const timeoutMs = 5_000;

/**
 * Asks an instance.
 *
 * @param address - Peer address of the instance, "ip:port".
 * @param description - The request.
 * @returns What would happen to it.
 * @throws Error when the instance does not answer with a preview.
 */
export async function readPreview(address: string, description: RequestDescription): Promise<PlacementPreview> {
    const query = new URLSearchParams({ [previewParameter]: JSON.stringify(description) });
    const answer = await requestOnce(address, `${previewPath}?${query}`, { signal: AbortSignal.timeout(timeoutMs) });
    const text = answer.body.toString();
    const preview = answer.status === 200 ? parseJson(placementPreviewSchema, text) : undefined;
    if (preview === undefined) {
        throw new Error(`${address} answered ${answer.status} without a preview: ${text}`);
    }
    return preview;
}
