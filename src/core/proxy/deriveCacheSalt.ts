/**
 * @module
 * The text under which engines keep cached prompt parts.
 */

/** What separates cached parts. */
export interface CacheSaltInputs {
    readonly model: string;
    readonly weightsVersion: number;
    /** Name of the customer when it shares no cached prompt with others. */
    readonly isolatedCustomer: string | undefined;
}

/**
 * Derives the salt, so that parts of other weights or of an isolated customer are never found.
 *
 * @param inputs - Model, weights and isolated customer.
 * @returns The salt.
 * @example
 * deriveCacheSalt({ model: "adapt", weightsVersion: 3, isolatedCustomer: undefined }); // "adapt/3/shared"
 */
export function deriveCacheSalt(inputs: CacheSaltInputs): string {
    const owner = inputs.isolatedCustomer === undefined ? "shared" : `only/${inputs.isolatedCustomer}`;
    return `${inputs.model}/${inputs.weightsVersion}/${owner}`;
}
