/**
 * @module
 * The fencing number of a claim of the rollout lease.
 */

/** Offsets of one era for which fencing numbers stay below those of the next era. */
const offsetsPerEra = 2 ** 32;

/**
 * Computes the fencing number of a claim. It rises from claim to claim also when the store has come back from an older
 * copy and gives out offsets again, since the era stands above the offset.
 *
 * @param era - Era of the store in which the claim was appended.
 * @param offset - Offset of the claim's record.
 * @returns The number; exact for eras below 2^21.
 * @example
 * toFencingNumber(1, 7) > toFencingNumber(0, 900); // true
 */
export function toFencingNumber(era: number, offset: number): number {
    return era * offsetsPerEra + offset;
}
