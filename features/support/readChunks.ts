/**
 * @module
 * Reads the chunks of an answer as they stand on the wire.
 */

/** Returns the chunks of a chunked answer, given whole with its head, in Latin-1. */
export function readChunks(answer: string): readonly string[] {
    const chunks: string[] = [];
    let position = answer.indexOf("\r\n\r\n") + "\r\n\r\n".length;
    for (;;) {
        const sizeEnd = answer.indexOf("\r\n", position);
        const size = Number.parseInt(answer.slice(position, sizeEnd), 16);
        if (!(size > 0)) {
            return chunks;
        }
        const start = sizeEnd + "\r\n".length;
        chunks.push(answer.slice(start, start + size));
        position = start + size + "\r\n".length;
    }
}
