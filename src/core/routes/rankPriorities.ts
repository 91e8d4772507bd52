/**
 * @module
 * Ranks requests by the priorities of their customers and routes.
 */
import type { Route, RouteCustomer } from "./routingTable.js";

/** Rank of a request; 0 is the most urgent. */
export type PriorityRank = (route: Pick<Route, "priority">, customer: RankedCustomer | undefined) => number;

type RankedCustomer = Pick<RouteCustomer, "priority">;

type Priorities = readonly [first: number, second: number];

/** Ranks that upstreams tell apart. */
const maxRanks = 10;

/** A customer's priority goes before its routes', which tell its own requests apart. */
function toPriorities({ priority }: Pick<Route, "priority">, customer: RankedCustomer | undefined): Priorities {
    return [customer?.priority ?? priority, priority];
}

const toKey = (priorities: Priorities) => priorities.join("/");

/**
 * Ranks the priorities that requests may have under a configuration.
 *
 * @param routes - Its routes.
 * @param customers - Its customers.
 * @returns The rank of a request; one with priorities of another configuration has the last rank.
 * @example
 * rankPriorities([{ priority: 0 }, { priority: 2 }], [{ priority: 1 }])({ priority: 2 }, { priority: 1 }); // 2
 */
export function rankPriorities(
    routes: readonly Pick<Route, "priority">[],
    customers: readonly RankedCustomer[],
): PriorityRank {
    const levels = new Map<number | undefined, RankedCustomer>(customers.map(one => [one.priority, one]));
    const all = routes.flatMap(route => [undefined, ...levels.values()].map(customer => toPriorities(route, customer)));
    const distinct = [...new Map(all.map(priorities => [toKey(priorities), priorities])).values()]
        .toSorted((left, right) => left[0] - right[0] || left[1] - right[1]);
    const step = Math.max(1, distinct.length / maxRanks);
    const ranks = new Map(distinct.map((priorities, index) => [toKey(priorities), Math.floor(index / step)]));
    const last = Math.min(maxRanks, Math.max(1, distinct.length)) - 1;
    return (route, customer) => ranks.get(toKey(toPriorities(route, customer))) ?? last;
}
