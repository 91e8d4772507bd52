/**
 * @module
 * Checks the head of a caller's request against the configuration in force.
 */
import { err, ok, type Result } from "true-myth/result";
import { createRefusal, type Refusal } from "../../core/errors/createRefusal.js";
import { chooseService } from "../../core/routes/chooseService.js";
import type { RouteIndex } from "../../core/routes/indexRoutes.js";
import type { Route, RouteCustomer } from "../../core/routes/routingTable.js";
import type { RequestHead } from "./proxyCodec.js";

/** A request whose head is valid. Times are milliseconds on the instance's clock. */
export interface CheckedHead {
    readonly head: RequestHead;
    readonly route: Route;
    readonly service: string;
    readonly customer: RouteCustomer | undefined;
    /** Rank among all requests that the configuration allows; 0 is the most urgent. */
    readonly priority: number;
    /** The caller's deadline or the route's timeout, whichever is earlier. */
    readonly deadlineMs: number;
    readonly maxBodyBytes: number;
}

/** What a request is checked against. */
export interface RequestHeadOptions {
    /** The configuration in force; undefined while there is none. */
    readonly routes: RouteIndex | undefined;
    /** Headers as received: names and values in turn. */
    readonly rawHeaders: readonly string[];
    readonly arrivedMs: number;
    readonly random: () => number;
}

function countHeaderBytes(rawHeaders: readonly string[]): number {
    // Each name and value is followed by two bytes: ": " or the line end.
    return rawHeaders.reduce((sum, text) => sum + text.length + 2, 0);
}

function toPath(target: string): string {
    const end = target.indexOf("?");
    return end === -1 ? target : target.slice(0, end);
}

function findCustomer(
    routes: RouteIndex,
    route: Route,
    credential: string | undefined,
): Result<RouteCustomer | undefined, Refusal> {
    if (!routes.hasCustomers || (route.isOpen && credential === undefined)) {
        return ok(undefined);
    }
    const customer = credential === undefined ? undefined : routes.findCustomer(credential);
    if (customer === undefined && !route.isOpen) {
        const detail = credential === undefined ? "the request has no API key" : "the API key belongs to no customer";
        return err(createRefusal("unknownCustomer", detail));
    }
    return ok(customer);
}

/**
 * Checks a head: limits of the configuration, route, customer and service.
 *
 * @param read - The head as decoded, or why it is malformed.
 * @param options - What it is checked against.
 * @returns The request's route, customer and service, or the refusal.
 * @example
 * checkRequestHead(codec.readRequest(method, url, rawHeaders), { routes, rawHeaders, arrivedMs, random });
 */
export function checkRequestHead(
    read: Result<RequestHead, Refusal>,
    options: RequestHeadOptions,
): Result<CheckedHead, Refusal> {
    const { routes, arrivedMs } = options;
    if (routes === undefined) {
        return err(createRefusal("noCatalogue", "no configuration has been received yet", { retryAfterMs: 300 }));
    }
    const { limits } = routes.table;
    if (countHeaderBytes(options.rawHeaders) > limits.maxHeaderBytes) {
        return err(createRefusal("headersTooLarge", `the headers exceed ${limits.maxHeaderBytes} bytes`));
    }
    return read.andThen(head => {
        const route = routes.findRoute(head.host, toPath(head.target));
        if (route === undefined) {
            return err(createRefusal("unknownRoute", ""));
        }
        return findCustomer(routes, route, head.credential).andThen(customer => {
            const service = chooseService(route.shares, options.random());
            if (service === undefined) {
                const detail = "no service is configured for the route";
                return err(createRefusal("noUpstream", detail, { retryAfterMs: 500 }));
            }
            const budgetMs = Math.min(head.budgetMs ?? route.timeoutMs, route.timeoutMs);
            const deadlineMs = arrivedMs + budgetMs;
            const priority = routes.rank(route, customer);
            return ok({ head, route, service, customer, priority, deadlineMs, maxBodyBytes: limits.maxBodyBytes });
        });
    });
}
