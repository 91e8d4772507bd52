/**
 * @module
 * Sends an answer without end, in chunks and segments of drawn sizes.
 */
import type { Socket } from "node:net";
import type { Writable } from "node:stream";
import { cutPieces, type PieceSize } from "./cutPieces.js";
import type { AnsweredRequest, EndlessForm, EndlessFraming } from "./endlessForms.js";

/** Sizes in which an answer is sent. */
export interface EndlessCut {
    /** Of the chunks; of no effect where the form has none. */
    readonly chunks: PieceSize;
    /** Of the writes, each of which is a segment where the connection takes it at once. */
    readonly segments: PieceSize;
}

/** Bytes that are framed once and sent again and again: for large pieces, for short ones, and behind extensions. */
const largeCycleBytes = 65_536;
const cycleBytes = 4_096;
const extendedCycleBytes = 48;

const extension = `;${"x".repeat(12_000)}`;

/** Writes, and bytes of them, in one turn of the event loop. */
const writesPerTurn = 64;
const bytesPerTurn = 262_144;

function frame(pieces: Iterable<string>, framing: EndlessFraming): string {
    const suffix = framing === "extendedChunks" ? extension : "";
    return Array.from(pieces, piece => `${piece.length.toString(16)}${suffix}\r\n${piece}\r\n`).join("");
}

/** Returns what a form repeats, as often as the sizes of the chunks need. */
function createCycle({ repeated, framing }: EndlessForm, chunks: PieceSize): string {
    if (framing === "extendedChunks") {
        return repeated.repeat(extendedCycleBytes).slice(0, extendedCycleBytes);
    }
    const isLarge = framing === "none" || ["16 KB", "64 KB", "mixed"].includes(chunks);
    const bytes = isLarge ? largeCycleBytes : cycleBytes;
    return repeated.length > bytes ? repeated.slice(0, bytes) : repeated.repeat(Math.ceil(bytes / repeated.length));
}

/** Resolves when a stream has written out what waits, or is closed. */
export function waitForDrain(stream: Writable): Promise<void> {
    return new Promise(resolve => {
        const onOver = () => {
            stream.off("drain", onOver);
            stream.off("close", onOver);
            resolve();
        };
        stream.on("drain", onOver);
        stream.on("close", onOver);
    });
}

/**
 * Writes bytes in segments until the connection is closed, or a number of times.
 *
 * @param socket - The connection.
 * @param bytes - What is written again and again, one a character.
 * @param size - Sizes of the segments.
 * @param random - Numbers from 0 to 1.
 * @param times - How often; without end if left out.
 */
export async function writeSegments(
    socket: Socket,
    bytes: string,
    size: PieceSize,
    random: () => number,
    times = Infinity,
): Promise<void> {
    socket.setNoDelay(true);
    let writes = 0;
    let bytesOfTurn = 0;
    for (let time = 0; time < times; time += 1) {
        for (const segment of cutPieces(bytes, size, random)) {
            if (!socket.writable) {
                return;
            }
            writes += 1;
            bytesOfTurn += segment.length;
            if (!socket.write(segment, "latin1")) {
                await waitForDrain(socket);
            }
            else if (writes % writesPerTurn === 0 || bytesOfTurn > bytesPerTurn) {
                bytesOfTurn = 0;
                await new Promise(resolve => setImmediate(resolve));
            }
        }
    }
}

/**
 * Answers without end, until its connection is closed.
 *
 * @param socket - The connection.
 * @param form - What is sent.
 * @param answered - What its head takes over from the request.
 * @param cut - In which sizes.
 * @param random - Numbers from 0 to 1.
 */
export async function sendEndless(
    socket: Socket,
    form: EndlessForm,
    answered: AnsweredRequest,
    cut: EndlessCut,
    random: () => number,
): Promise<void> {
    const cycle = createCycle(form, cut.chunks);
    const bytes = form.framing === "none" ? cycle : frame(cutPieces(cycle, cut.chunks, random), form.framing);
    socket.write(form.createFirst(answered), "latin1");
    await writeSegments(socket, bytes, cut.segments, random);
}
