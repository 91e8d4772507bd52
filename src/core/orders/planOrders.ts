/**
 * @module
 * Plans the lease holder's next steps: loads to announce, orders to send, and what has ended. Every decision depends
 * only on the fold and on polled engine states, so that a successor continues where its predecessor stopped.
 */
import { type Catalogue, findEntry, listEntries } from "../catalogue/catalogue.js";
import type { Model, Upstream } from "../catalogue/catalogueEntry.js";
import type { AnnouncedLoad, Order, OrderProgress } from "../catalogue/orderRecord.js";
import { configurationBoundMs } from "../constants.js";
import type { EngineOrder, EngineState } from "../ports/enginePort.js";
import { findServedVersion } from "./findServedVersion.js";

/** State of an engine when it was last polled. */
export interface ObservedEngine {
    readonly state: EngineState;
    readonly runningRequests: number;
    readonly isLeaving: boolean;
}

/** Input of a plan. */
export interface PlanInput {
    readonly catalogue: Catalogue;
    /** Recently polled engines; others are not known to serve and may be loading. */
    readonly engines: ReadonlyMap<string, ObservedEngine>;
    /** Milliseconds since this instance first saw the announced load of an upstream. */
    readonly loadAgeMs: (upstream: string) => number;
    /** Milliseconds since the Unix epoch. */
    readonly wallMs: number;
    /** Whether the weight store holds "model@version". */
    readonly hasWeights: (weights: string) => boolean;
}

/** An order to send. */
export type PlannedOrder =
    & Pick<EngineOrder, "orderId" | "action" | "model" | "weightsVersion" | "role">
    & { readonly upstream: string; };

/** Progress to record and orders to send. */
export interface Plan {
    readonly progress: Pick<OrderProgress, "begun" | "ended" | "ordersEnded" | "rolledOut">;
    readonly sends: readonly PlannedOrder[];
}

/** Time after which an operator's order whose effect was not observed expires, in milliseconds. */
export const orderLifetimeMs = 3_600_000;

/** Time after which a load at an unresponsive engine counts as ended, in milliseconds. */
export const loadTimeoutMs = 600_000;

/** Time for requests on the old weights to end before the new ones are served alongside them, in milliseconds. */
export const swapTimeoutMs = 300_000;

/** Maximum number of items in one list of a progress record. */
const maxItems = 256;

function toWeights(one: { readonly model: string; readonly weightsVersion: string; }): string {
    return `${one.model}@${one.weightsVersion}`;
}

function planAction(
    upstream: string,
    load: AnnouncedLoad,
    action: "load" | "unload",
    weightsVersion: string,
): PlannedOrder {
    const orderId = `${action}-${upstream}-${load.model}-${weightsVersion}`;
    return { orderId, action, model: load.model, weightsVersion, role: "", upstream };
}

type LoadStep =
    | { readonly kind: "wait"; }
    | { readonly kind: "end"; readonly isLoaded: boolean; }
    | { readonly kind: "send"; readonly order: PlannedOrder; };

/** After the new weights are loaded, the old ones are unloaded once no request runs on them. */
function planSwap(input: PlanInput, upstream: string, load: AnnouncedLoad, engine: ObservedEngine): LoadStep {
    const old = findServedVersion(input.catalogue, load.model, upstream);
    const isOldLoaded = old !== undefined && old !== load.weightsVersion
        && engine.state.loaded.includes(`${load.model}@${old}`);
    if (load.orderId !== undefined || !isOldLoaded || input.loadAgeMs(upstream) > swapTimeoutMs) {
        return { kind: "end", isLoaded: true };
    }
    // Until the announced load is in force everywhere, other instances may still send requests for the old weights.
    return engine.runningRequests === 0 && input.loadAgeMs(upstream) >= configurationBoundMs
        ? { kind: "send", order: planAction(upstream, load, "unload", old) }
        : { kind: "wait" };
}

function isObsolete(catalogue: Catalogue, upstream: Upstream, load: AnnouncedLoad): boolean {
    if (load.orderId !== undefined) {
        return catalogue.orders.get(load.orderId)?.end !== undefined;
    }
    const model = findEntry(catalogue, "model", load.model);
    return upstream.leaving || model?.weightsVersion !== load.weightsVersion;
}

function planLoad(input: PlanInput, id: string, load: AnnouncedLoad): LoadStep {
    const upstream = findEntry(input.catalogue, "upstream", id);
    const engine = input.engines.get(id);
    if (upstream === undefined) {
        return { kind: "end", isLoaded: false };
    }
    if (engine === undefined) {
        return input.loadAgeMs(id) > loadTimeoutMs ? { kind: "end", isLoaded: false } : { kind: "wait" };
    }
    if (engine.state.loaded.includes(toWeights(load))) {
        return planSwap(input, id, load, engine);
    }
    if (engine.state.loading.length > 0) {
        return { kind: "wait" };
    }
    return isObsolete(input.catalogue, upstream, load)
        ? { kind: "end", isLoaded: false }
        : { kind: "send", order: planAction(id, load, "load", load.weightsVersion) };
}

/** Counts upstreams that load without an announcement, such as after an order of another system. */
function countForeignLoads(input: PlanInput): number {
    const { catalogue, engines } = input;
    return [...engines].filter(([id, engine]) => engine.state.loading.length > 0 && !catalogue.loads.has(id)).length;
}

function isServing(input: PlanInput, model: string, upstream: Upstream): boolean {
    const engine = input.engines.get(upstream.id);
    const version = findServedVersion(input.catalogue, model, upstream.id);
    return engine !== undefined && !engine.isLeaving && !input.catalogue.loads.has(upstream.id)
        && engine.state.loaded.includes(`${model}@${version}`);
}

function listEngines(catalogue: Catalogue, model: string): readonly Upstream[] {
    return listEntries(catalogue, "upstream")
        .filter(one => one.role === "engine" && !one.leaving && one.serves.includes(model));
}

/** True for an engine that crashed after its move and restarted without the weights; the rollout loads them again. */
function lacksTarget(input: PlanInput, model: Model, upstream: Upstream): boolean {
    const engine = input.engines.get(upstream.id);
    return engine !== undefined && !input.catalogue.loads.has(upstream.id)
        && !engine.state.loaded.includes(`${model.id}@${model.weightsVersion}`);
}

interface RolloutPlan {
    readonly begun: OrderProgress["begun"];
    readonly isDone: boolean;
}

/** Moves engines that do not serve first: their load takes no serving engine away. */
function planRollout(input: PlanInput, model: Model, freeSlots: number, reserved: ReadonlySet<string>): RolloutPlan {
    const { catalogue } = input;
    const engines = listEngines(catalogue, model.id);
    const target = model.weightsVersion;
    const waiting = engines.filter(one =>
        findServedVersion(catalogue, model.id, one.id) !== target || lacksTarget(input, model, one)
    );
    const hasLoad = [...catalogue.loads.values()].some(load => load.model === model.id && load.orderId === undefined);
    if (waiting.length === 0 && !hasLoad) {
        return { begun: [], isDone: true };
    }
    if (!input.hasWeights(`${model.id}@${target}`)) {
        return { begun: [], isDone: false };
    }
    let serving = engines.filter(one => isServing(input, model.id, one) && !reserved.has(one.id)).length;
    const minServing = Math.ceil(model.minimumServingShare * engines.length);
    const ready = waiting.filter(one =>
        input.engines.has(one.id) && !catalogue.loads.has(one.id) && !reserved.has(one.id)
    );
    const ranked = [...ready].sort((left, right) =>
        Number(isServing(input, model.id, left)) - Number(isServing(input, model.id, right))
    );
    const begun: OrderProgress["begun"][number][] = [];
    for (const upstream of ranked) {
        const loss = isServing(input, model.id, upstream) ? 1 : 0;
        if (begun.length >= freeSlots || serving - loss < minServing) {
            break;
        }
        serving -= loss;
        begun.push({ upstream: upstream.id, model: model.id, weightsVersion: target });
    }
    return { begun, isDone: false };
}

function isReached(order: Order, engine: ObservedEngine): boolean {
    const weights = toWeights(order);
    const { loaded, loading, role } = engine.state;
    switch (order.action) {
        case "load":
            return loaded.includes(weights);
        case "unload":
            return !loaded.includes(weights) && !loading.includes(weights);
        case "role":
            return role === order.role;
        case "drain":
            return engine.isLeaving;
    }
}

type OrderStep =
    | { readonly kind: "wait"; }
    | { readonly kind: "end"; readonly outcome: "done" | "expired"; readonly detail: string; }
    | { readonly kind: "begin"; }
    | { readonly kind: "send"; readonly order: PlannedOrder; };

function planOrder(input: PlanInput, order: Order, isSlotFree: boolean): OrderStep {
    const engine = input.engines.get(order.upstream);
    if (findEntry(input.catalogue, "upstream", order.upstream) === undefined) {
        return { kind: "end", outcome: "expired", detail: "the upstream is no longer in the catalogue" };
    }
    if (engine !== undefined && isReached(order, engine)) {
        return { kind: "end", outcome: "done", detail: "" };
    }
    if (input.wallMs - order.givenMs > orderLifetimeMs) {
        return { kind: "end", outcome: "expired", detail: engine === undefined ? "no answer" : "not reached" };
    }
    if (engine === undefined) {
        return { kind: "wait" };
    }
    if (order.action === "load") {
        const mayBegin = isSlotFree && !input.catalogue.loads.has(order.upstream) && input.hasWeights(toWeights(order));
        return mayBegin ? { kind: "begin" } : { kind: "wait" };
    }
    const { orderId, action, model, weightsVersion, role, upstream } = order;
    return { kind: "send", order: { orderId, action, model, weightsVersion, role, upstream } };
}

/**
 * Plans the next steps. Only the first announced loads, up to the policy's maximum, are sent; the others wait for a
 * free slot.
 *
 * @param input - The fold and the polled engines.
 * @returns The progress to record and the orders to send.
 * @example
 * planOrders({ catalogue, engines, loadAgeMs, wallMs, hasWeights }).sends;
 */
export function planOrders(input: PlanInput): Plan {
    const { catalogue } = input;
    const slots = (findEntry(catalogue, "policy", "policy")?.maxConcurrentLoads ?? 1) - countForeignLoads(input);
    const sends: PlannedOrder[] = [];
    const ended: OrderProgress["ended"][number][] = [];
    for (const [index, [upstream, load]] of [...catalogue.loads].entries()) {
        const step = planLoad(input, upstream, load);
        if (step.kind === "end") {
            ended.push({ upstream, isLoaded: step.isLoaded });
        }
        else if (step.kind === "send" && (step.order.action === "unload" || index < slots)) {
            sends.push(step.order);
        }
    }
    const begun: OrderProgress["begun"][number][] = [];
    const ordersEnded: OrderProgress["ordersEnded"][number][] = [];
    const countFree = () => slots - catalogue.loads.size - begun.length;
    const reserved = new Set<string>();
    for (const { order, end } of catalogue.orders.values()) {
        const isWaiting = end === undefined && ordersEnded.length < maxItems;
        const step: OrderStep = isWaiting
            ? planOrder(input, order, countFree() > 0 && !reserved.has(order.upstream))
            : { kind: "wait" };
        if (step.kind === "end") {
            ordersEnded.push({ orderId: order.orderId, outcome: step.outcome, detail: step.detail });
        }
        else if (step.kind === "begin") {
            const { upstream, model, weightsVersion, orderId } = order;
            reserved.add(upstream);
            begun.push({ upstream, model, weightsVersion, orderId });
        }
        else if (step.kind === "send") {
            sends.push(step.order);
        }
    }
    const rolledOut: string[] = [];
    for (const { entry, rollout } of catalogue.entries.values()) {
        if (entry.kind !== "model" || rollout === undefined) {
            continue;
        }
        const rolling = planRollout(input, entry, Math.max(0, countFree()), reserved);
        rolling.begun.forEach(one => reserved.add(one.upstream));
        begun.push(...rolling.begun);
        if (rolling.isDone) {
            rolledOut.push(`${entry.id}@${entry.weightsVersion}`);
        }
    }
    return { progress: { begun, ended: ended.slice(0, maxItems), ordersEnded, rolledOut }, sends };
}
