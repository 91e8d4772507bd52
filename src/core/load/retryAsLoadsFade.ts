/**
 * @module
 * Places waiting requests again while what is known of the load of upstreams gets older.
 */
import type { UpstreamLoads } from "./createUpstreamLoads.js";

/** What decides whether to retry. */
export interface FadingLoads {
    readonly loads: Pick<UpstreamLoads, "listStatements">;
    /** Whether the fleet is so small that each instance reports its requests to all others. */
    readonly isFleetDirect: boolean;
    /** Places waiting requests again. */
    readonly retry: () => void;
}

/**
 * Retries where requests are placed by statements: an upstream that was full by an old one counts as free later, without any
 * event. A small fleet whose upstreams don't state their pace is placed without statements. To be called at short intervals.
 *
 * @param deps - The loads, and the retry.
 * @example
 * retryAsLoadsFade({ loads, isFleetDirect: view.isDirect(), retry: placer.dispatch });
 */
export function retryAsLoadsFade({ loads, isFleetDirect, retry }: FadingLoads): void {
    const statements = loads.listStatements();
    if (statements.some(one => !isFleetDirect || one.pace !== undefined)) {
        retry();
    }
}
