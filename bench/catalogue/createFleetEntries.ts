/**
 * @module
 * Catalogue entries of a fleet of a given size.
 */
import type { CatalogueEntry } from "../../src/core/catalogue/catalogueEntry.js";

/** Size of a fleet. */
export interface FleetSize {
    readonly upstreams: number;
    readonly customers: number;
    readonly models: number;
}

function createCustomer(index: number): CatalogueEntry {
    return {
        kind: "customer",
        id: `customer-${index}`,
        owner: `customer-${index}`,
        classOfService: "standard",
        limits: {
            requestsPerSecond: 100,
            promptTokensPerSecond: 100_000,
            outputTokensPerSecond: 50_000,
            requestsInFlight: 200,
            burstSeconds: 2,
        },
        credentialSha256: "0".repeat(64),
    };
}

/** Creates one upstream. */
export function createUpstream(index: number, models: number, leaving: boolean): CatalogueEntry {
    return {
        kind: "upstream",
        id: `engine-${index}`,
        owner: "operations",
        address: `10.${index >> 16}.${(index >> 8) & 255}.${index & 255}:8000`,
        failureDomain: `domain-${index % 7}`,
        role: "engine",
        serves: [`model-${index % models}`],
        fencesOrders: index % 2 === 0,
        slots: 16,
        prefillTokensPerSecond: 8000,
        leaving,
    };
}

/** Creates the entries. */
export function createFleetEntries(size: FleetSize): readonly CatalogueEntry[] {
    const list = (count: number) => Array.from({ length: count }, (_, index) => index);
    return [
        { kind: "policy", id: "policy", owner: "operations", preset: "lectura", maxConcurrentLoads: 3 },
        ...list(size.models).map((index): CatalogueEntry => ({
            kind: "model",
            id: `model-${index}`,
            owner: "operations",
            weightsVersion: "v1",
            minimumServingShare: 0.5,
        })),
        ...list(size.customers).map(createCustomer),
        ...list(size.upstreams).map(index => createUpstream(index, size.models, false)),
    ];
}
