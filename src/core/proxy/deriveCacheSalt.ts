/**
 * @module
 * The cache salt: a string that partitions the engines' caches of prompt parts.
 */

/** What cached prompt parts are partitioned by. */
export interface CacheSaltInputs {
    readonly model: string;
    readonly weightsVersion: number;
    /** Name of the customer when its cached prompts are not shared with others. */
    readonly isolatedCustomer: string | undefined;
}

/**
 * Derives the salt, so that a lookup never returns prompt parts of other weights or of an isolated customer.
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
