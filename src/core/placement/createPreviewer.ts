/**
 * @module
 * Answers operators who ask what would happen to a described request now.
 */
import { err, ok, type Result } from "true-myth/result";
import type { ProxyRequest } from "../proxy/proxyTypes.js";
import { chooseService } from "../routes/chooseService.js";
import type { RouteIndex } from "../routes/indexRoutes.js";
import type { Route, RouteCustomer } from "../routes/routingTable.js";
import type { PlacementPreview, RequestDescription } from "./placementPreview.js";
import type { Prompt } from "./placementTypes.js";
import type { PlacementDecision } from "./previewPlacement.js";

/** Dependencies of {@link createPreviewer}. */
export interface PreviewerDependencies {
    readonly instance: string;
    /** Time on the instance's clock, in milliseconds. */
    readonly now: () => number;
    /** Returns a number from 0 (included) to 1 (excluded). */
    readonly random: () => number;
    /** The configuration in force; undefined while there is none. */
    readonly routes: () => RouteIndex | undefined;
    readonly preview: (req: ProxyRequest) => PlacementDecision;
    /** Prompt parts that are held back since engines ended under them. */
    readonly listHeldParts: () => readonly string[];
    readonly countWaiting: () => number;
}

/** Previews a described request, or says why it cannot be described so. */
export type PreviewRequest = (description: RequestDescription) => Result<PlacementPreview, string>;

/** Id of a request that is not sent. */
const previewId = "preview";

function toPrompt({ model, parts, outputTokens }: RequestDescription): Prompt | undefined {
    const promptTokens = parts.reduce((sum, part) => sum + part.tokens, 0);
    return model === undefined ? undefined : { model, parts, promptTokens, outputTokens };
}

function toPath(target: string): string {
    return target.split("?", 1)[0] ?? "";
}

/**
 * Creates the function that answers.
 *
 * @param deps - The configuration and placement.
 * @returns The function.
 * @example
 * createPreviewer(deps)({ host: "letters.example", target: "/adapt/7", parts: [], outputTokens: 0 });
 */
export function createPreviewer(deps: PreviewerDependencies): PreviewRequest {
    function toRequest(
        description: RequestDescription,
        routes: RouteIndex,
        route: Route,
        service: string,
        customer: RouteCustomer | undefined,
    ): ProxyRequest {
        const arrivedMs = deps.now();
        return {
            id: previewId,
            method: "POST",
            target: description.target,
            headers: [],
            body: undefined,
            route,
            service,
            customer,
            prompt: toPrompt(description),
            tokenCount: undefined,
            lastEventId: undefined,
            arrivedMs,
            deadlineMs: arrivedMs + route.timeoutMs,
            priority: routes.rank(route, customer),
        };
    }

    function decide(req: ProxyRequest): PlacementDecision {
        const decided = deps.preview(req);
        const heldParts = new Set(deps.listHeldParts());
        const held = req.prompt?.parts.find(part => heldParts.has(part.id));
        const detail = `would be refused: part ${held?.id} of the prompt has ended engines`;
        return held === undefined ? decided : { ...decided, decision: "refused", detail };
    }

    return description => {
        const routes = deps.routes();
        if (routes === undefined) {
            return err("no configuration has been received yet");
        }
        const route = routes.findRoute(description.host.toLowerCase(), toPath(description.target));
        if (route === undefined) {
            return err(`no route for ${description.host}${toPath(description.target)}`);
        }
        const customer = routes.table.customers.find(one => one.name === description.customer);
        if (description.customer !== undefined && customer === undefined) {
            return err(`no customer ${description.customer}`);
        }
        const service = chooseService(route.shares, deps.random());
        if (service === undefined) {
            return err(`no service is configured for route ${route.name}`);
        }
        return ok({
            instance: deps.instance,
            route: route.name,
            service,
            tableVersion: routes.table.version,
            waiting: deps.countWaiting(),
            ...decide(toRequest(description, routes, route, service, customer)),
        });
    };
}
