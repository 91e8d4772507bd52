/**
 * @module
 * Writes the body of a caller's request: at once, in a few parts with pauses, or in many pieces of drawn sizes.
 */
import type { ClientRequest } from "node:http";
import { setImmediate as nextTurn, setTimeout as delay } from "node:timers/promises";
import { cutPieces, type PieceSize } from "../../../fakes/cutPieces.js";
import { waitForDrain } from "../../../fakes/sendEndless.js";
import type { Call } from "./drawCall.js";

const partPauseMs = 120;

/** Pieces that are written in one turn of the event loop. */
const piecesPerTurn = 64;

async function writePieces(req: ClientRequest, body: string, size: PieceSize, random: () => number): Promise<void> {
    let written = 0;
    for (const piece of cutPieces(body, size, random)) {
        if (req.destroyed) {
            return;
        }
        written += 1;
        if (!req.write(piece)) {
            await waitForDrain(req);
        }
        else if (written % piecesPerTurn === 0) {
            await nextTurn();
        }
    }
    req.end();
}

async function writeParts(req: ClientRequest, body: string, parts: number): Promise<void> {
    const partBytes = Math.ceil(body.length / parts);
    for (let sentBytes = partBytes; sentBytes < body.length; sentBytes += partBytes) {
        req.write(body.slice(sentBytes - partBytes, sentBytes));
        await delay(partPauseMs);
    }
    req.end(body.slice(partBytes * (parts - 1)));
}

/** Writes the body of a call; each piece is a chunk of its own. */
export function writeCallBody(req: ClientRequest, call: Call, random: () => number): Promise<void> {
    const body = "x".repeat(call.bodyBytes);
    return call.pieces === undefined
        ? writeParts(req, body, call.parts)
        : writePieces(req, body, call.pieces, random);
}
