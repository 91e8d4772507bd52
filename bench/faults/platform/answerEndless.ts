/**
 * @module
 * Answers a request with a drawn form in drawn pieces, until its caller closes the connection.
 */
import type { IncomingMessage } from "node:http";
import { drawPieceSize } from "../../../fakes/cutPieces.js";
import { type EndlessForm, endlessForms } from "../../../fakes/endlessForms.js";
import { sendEndless } from "../../../fakes/sendEndless.js";

/** Options of {@link answerEndless}. */
export interface EndlessAnswerOptions {
    readonly random: () => number;
    /** Whether a complete answer may come first. */
    readonly mayBeginComplete: boolean;
    /** Further lines of the head, each with its line end. */
    readonly lines?: string;
}

/** Answers a request without end, and returns the form. */
export function answerEndless(req: IncomingMessage, options: EndlessAnswerOptions): EndlessForm {
    const { random, mayBeginComplete, lines = "" } = options;
    const forms = endlessForms.filter(form => mayBeginComplete || !form.beginsComplete);
    const form = forms[Math.floor(random() * forms.length)]!;
    const cut = { chunks: drawPieceSize(random), segments: drawPieceSize(random) };
    const attempt = String(req.headers["attempt-id"] ?? "");
    req.resume();
    void sendEndless(req.socket, form, { attempt, lines }, cut, random);
    return form;
}
