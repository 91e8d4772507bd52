/**
 * @module
 * Answers other instances and operators at the peer address.
 */
import type { RequestListener, ServerResponse } from "node:http";
import { parseJson } from "../core/_lib/parseJson.js";
import type { PreviewRequest } from "../core/placement/createPreviewer.js";
import { requestDescriptionSchema } from "../core/placement/placementPreview.js";
import type { PartGuard } from "../core/quarantine/partGuardTypes.js";
import { peerStatePath } from "../io/fleet/createPeerStateReader.js";
import { createPathListener } from "../io/http/createPathListener.js";
import { sendJson } from "../io/http/sendJson.js";
import { previewParameter, previewPath } from "../io/peers/readPreview.js";
import { quarantinePath } from "../io/peers/readQuarantine.js";
import { type ListedSignal, signalsPath } from "../io/peers/readSignals.js";
import type { Fleet } from "./assembleFleet.js";

/** The data for the answers. */
export interface PeerAnswers {
    readonly fleet: Pick<Fleet, "describeState">;
    readonly quarantine: Pick<PartGuard, "list" | "lift">;
    readonly listSignals: () => readonly ListedSignal[];
    readonly preview: PreviewRequest;
}

/**
 * Creates the listener.
 *
 * @param sources - The data for the answers.
 * @returns The listener.
 */
export function createPeerListener(sources: PeerAnswers): RequestListener {
    function answerPreview(url: URL, res: ServerResponse): void {
        const description = parseJson(requestDescriptionSchema, url.searchParams.get(previewParameter) ?? "");
        if (description === undefined) {
            sendJson(res, 400, JSON.stringify({ error: "the request is described incorrectly" }));
            return;
        }
        const preview = sources.preview(description);
        if (preview.isErr) {
            sendJson(res, 404, JSON.stringify({ error: preview.error }));
            return;
        }
        sendJson(res, 200, JSON.stringify(preview.value));
    }

    function liftPart(url: URL, res: ServerResponse): void {
        const isLifted = sources.quarantine.lift(url.searchParams.get("part") ?? "");
        sendJson(res, isLifted ? 200 : 404, JSON.stringify({ isLifted }));
    }

    return createPathListener({
        [peerStatePath]: (url, res) => {
            const tableVersion = Number(url.searchParams.get("known") ?? 0);
            const upstreamsDigest = url.searchParams.get("upstreams") ?? "";
            sendJson(res, 200, JSON.stringify(sources.fleet.describeState({ tableVersion, upstreamsDigest })));
        },
        [previewPath]: answerPreview,
        [signalsPath]: (_, res) => sendJson(res, 200, JSON.stringify(sources.listSignals())),
        [quarantinePath]: (_, res) => sendJson(res, 200, JSON.stringify(sources.quarantine.list())),
    }, { [quarantinePath]: liftPart });
}
