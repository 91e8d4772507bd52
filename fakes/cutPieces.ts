/**
 * @module
 * Cuts bytes into pieces of drawn sizes.
 */

/** Sizes of pieces: one of the classes, or each piece of a class that is drawn for it. */
export type PieceSize = "byte" | "few" | "line" | "event" | "hundreds" | "16 KB" | "64 KB" | "mixed";

/** Every choice of sizes. */
export const pieceSizes: readonly PieceSize[] = ["byte", "few", "line", "event", "hundreds", "16 KB", "64 KB", "mixed"];

const sizeBounds = {
    byte: { min: 1, max: 1 },
    few: { min: 2, max: 9 },
    hundreds: { min: 100, max: 999 },
    "16 KB": { min: 16_384, max: 16_384 },
    "64 KB": { min: 65_536, max: 65_536 },
} as const;

/** Draws one of the choices. */
export function drawPieceSize(random: () => number): PieceSize {
    return pieceSizes[Math.floor(random() * pieceSizes.length)]!;
}

/** Returns where the piece that begins at an offset ends. */
function findEnd(bytes: string, offset: number, size: PieceSize, random: () => number): number {
    if (size === "mixed") {
        const drawn = pieceSizes[Math.floor(random() * (pieceSizes.length - 1))]!;
        return findEnd(bytes, offset, drawn, random);
    }
    if (size === "line" || size === "event") {
        const last = size === "line" ? "\n" : "\n\n";
        const found = bytes.indexOf(last, offset);
        return found === -1 ? bytes.length : found + last.length;
    }
    const { min, max } = sizeBounds[size];
    return Math.min(bytes.length, offset + min + Math.floor(random() * (max - min + 1)));
}

/**
 * Cuts bytes into pieces.
 *
 * @param bytes - The bytes, one a character.
 * @param size - Sizes of the pieces.
 * @param random - Numbers from 0 to 1.
 * @returns The pieces, in order; together they are the bytes.
 */
export function* cutPieces(bytes: string, size: PieceSize, random: () => number): Generator<string, void> {
    for (let offset = 0; offset < bytes.length;) {
        const end = findEnd(bytes, offset, size, random);
        yield bytes.slice(offset, end);
        offset = end;
    }
}
