/**
 * @module
 * Index for lookups in one version of the configuration.
 */
import { type PriorityRank, rankPriorities } from "./rankPriorities.js";
import type { Route, RouteCustomer, RoutingTable, Service } from "./routingTable.js";

/** A version of the configuration, indexed for lookups. */
export interface RouteIndex {
    readonly table: RoutingTable;
    /** The route with the longest prefix of the path among the host's routes. */
    readonly findRoute: (host: string, path: string) => Route | undefined;
    readonly findCustomer: (key: string) => RouteCustomer | undefined;
    readonly findService: (name: string) => Service | undefined;
    /** Rank of a request among all that the configuration allows; 0 is the most urgent. */
    readonly rank: PriorityRank;
    /** Whether any customer is configured, so that routes that are not open require a customer's key. */
    readonly hasCustomers: boolean;
}

function groupByHost(routes: readonly Route[]): ReadonlyMap<string, ReadonlyMap<string, Route>> {
    const hosts = new Map<string, Map<string, Route>>();
    for (const route of routes) {
        const prefixes = hosts.get(route.host) ?? new Map<string, Route>();
        prefixes.set(route.pathPrefix, route);
        hosts.set(route.host, prefixes);
    }
    return hosts;
}

/** Tries the path up to each of its slashes, from the last to the first: every prefix ends with a slash. */
function findLongestPrefix(prefixes: ReadonlyMap<string, Route>, path: string): Route | undefined {
    let end = path.lastIndexOf("/");
    while (end >= 0) {
        const route = prefixes.get(path.slice(0, end + 1));
        if (route !== undefined) {
            return route;
        }
        end = end === 0 ? -1 : path.lastIndexOf("/", end - 1);
    }
    return undefined;
}

/**
 * Indexes a version of the configuration.
 *
 * @param table - The configuration.
 * @returns The index.
 * @example
 * indexRoutes(table).findRoute("letters.example", "/adapt/para/7")?.pathPrefix; // "/adapt/"
 */
export function indexRoutes(table: RoutingTable): RouteIndex {
    const hosts = groupByHost(table.routes);
    const services = new Map(table.services.map(service => [service.name, service]));
    const customers = new Map(table.customers.flatMap(customer => customer.keys.map(key => [key, customer])));
    return {
        table,
        findRoute: (host, path) => {
            const prefixes = hosts.get(host);
            return prefixes === undefined ? undefined : findLongestPrefix(prefixes, path);
        },
        findCustomer: key => customers.get(key),
        findService: name => services.get(name),
        rank: rankPriorities(table.routes, table.customers),
        hasCustomers: table.customers.length > 0,
    };
}
