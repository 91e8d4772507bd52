/**
 * @module
 * The measurements by name. Each prints a table for people and, as its last line, one JSON object.
 */

/** Runs a measurement with its flags. */
export type Bench = (args: readonly string[]) => Promise<void> | void;

async function measureRouteCost(): Promise<void> {
    (await import("./routeCost/runRouteCost.js")).runRouteCost();
}

async function measureEvenLoad(args: readonly string[]): Promise<void> {
    (await import("./evenLoad/runEvenLoad.js")).runEvenLoad(args);
}

async function measureEngineQueues(): Promise<void> {
    (await import("./evenLoad/runEngineQueues.js")).runEngineQueues();
}

/** Loads a measurement only when it is run. */
export const benches: Readonly<Record<string, Bench>> = {
    "route-cost": measureRouteCost,
    placement: async () => (await import("./placement/runPlacement.js")).runPlacement(),
    membership: async args => (await import("./membership/runMembership.js")).runMembership(args),
    routing: async args => (await import("./routing/runRouting.js")).runRouting(args),
    limits: async args => (await import("./limits/runLimits.js")).runLimits(args),
    forward: async args => (await import("./forward/runForward.js")).runForward(args),
    claims: async args => (await import("./claims/runClaims.js")).runClaims(args),
    slopes: async () => (await import("./slopes/runSlopes.js")).runSlopes(),
    catalogue: async args => (await import("./catalogue/runCatalogue.js")).runCatalogue(args),
    "even-load": measureEvenLoad,
    "engine-queues": measureEngineQueues,
    orders: async args => (await import("./orders/runOrderCosts.js")).runOrderCosts(args),
    homes: async args => (await import("./homes/runHomes.js")).runHomes(args),
};
