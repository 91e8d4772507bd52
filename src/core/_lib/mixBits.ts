/**
 * @module
 * A cheap 32-bit mixing function for code that needs many hashes per decision.
 */

/**
 * Mixes two 32-bit numbers into one whose bits depend on all bits of both (finalizer of MurmurHash3).
 *
 * @param left - First number.
 * @param right - Second number.
 * @returns 32 bits as an unsigned number.
 * @example
 * mixBits(1, 2) === mixBits(1, 2); // true
 */
export function mixBits(left: number, right: number): number {
    let bits = Math.imul(left ^ Math.imul(right, 0x9e3779b1), 0x85ebca6b);
    bits ^= bits >>> 16;
    bits = Math.imul(bits ^ right, 0xc2b2ae35);
    bits ^= bits >>> 13;
    bits = Math.imul(bits, 0x27d4eb2f);
    return (bits ^ (bits >>> 16)) >>> 0;
}
