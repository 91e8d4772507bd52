/**
 * @module
 * What the lease holder does next: loads to announce, orders to send, and what has ended. Every decision is made from the
 * fold and from states that were read back, so that a successor goes on where its predecessor stopped.
 */
import { type Catalogue, findEntry, listEntries } from "../catalogue/catalogue.js";
import type { Model, Upstream } from "../catalogue/catalogueEntry.js";
import type { AnnouncedLoad, Order, OrderProgress } from "../catalogue/orderRecord.js";
import { configurationBoundMs } from "../constants.js";
import type { EngineOrder, EngineState } from "../ports/enginePort.js";
import { findServedVersion } from "./findServedVersion.js";

/** An engine as it was read back. */
export interface ObservedEngine {
    readonly state: EngineState;
    readonly runningRequests: number;
    readonly isLeaving: boolean;
}

/** What a plan is made from. */
export interface PlanInput {
    readonly catalogue: Catalogue;
    /** Engines that were read back lately; others are not known to serve and may be loading. */
    readonly engines: ReadonlyMap<string, ObservedEngine>;
    /** Milliseconds since this instance first saw the announced load. */
    readonly markAgeMs: (upstream: string) => number;
    /** Milliseconds since the Unix epoch. */
    readonly wallMs: number;
    /** Whether the weight store holds "model@version". */
    readonly hasWeights: (weights: string) => boolean;
}

/** An order to send. */
export type PlannedOrder =
    & Pick<EngineOrder, "orderId" | "action" | "model" | "weightsVersion" | "role">
    & { readonly upstream: string; };

/** What to record and what to send. */
export interface Plan {
    readonly progress: Pick<OrderProgress, "begun" | "ended" | "ordersEnded" | "rolledOut">;
    readonly sends: readonly PlannedOrder[];
}

/** Time after which an operator's order that was not read back is given up, in milliseconds. */
export const orderLifetimeMs = 3_600_000;

/** Time after which a load at an engine that does not answer counts as ended, in milliseconds. */
export const loadTimeoutMs = 600_000;

/** Time that requests on the old weights have to end before the new ones are served beside them, in milliseconds. */
export const exchangeBoundMs = 300_000;

/** Items of one progress record. */
const maxItems = 256;

function toWeights(one: { readonly model: string; readonly weightsVersion: string; }): string {
    return `${one.model}@${one.weightsVersion}`;
}

function planAction(
    upstream: string,
    mark: AnnouncedLoad,
    action: "load" | "unload",
    weightsVersion: string,
): PlannedOrder {
    const orderId = `${action}-${upstream}-${mark.model}-${weightsVersion}`;
    return { orderId, action, model: mark.model, weightsVersion, role: "", upstream };
}

type MarkStep =
    | { readonly kind: "wait"; }
    | { readonly kind: "end"; readonly isLoaded: boolean; }
    | { readonly kind: "send"; readonly order: PlannedOrder; };

/** After the new weights are loaded, the old ones go once no request runs on them. */
function planExchange(input: PlanInput, upstream: string, mark: AnnouncedLoad, engine: ObservedEngine): MarkStep {
    const old = findServedVersion(input.catalogue, mark.model, upstream);
    const isOldLoaded = old !== undefined && old !== mark.weightsVersion
        && engine.state.loaded.includes(`${mark.model}@${old}`);
    if (mark.orderId !== undefined || !isOldLoaded || input.markAgeMs(upstream) > exchangeBoundMs) {
        return { kind: "end", isLoaded: true };
    }
    // Until the mark is in force everywhere, other instances may still send requests for the old weights.
    return engine.runningRequests === 0 && input.markAgeMs(upstream) >= configurationBoundMs
        ? { kind: "send", order: planAction(upstream, mark, "unload", old) }
        : { kind: "wait" };
}

function isObsolete(catalogue: Catalogue, upstream: Upstream, mark: AnnouncedLoad): boolean {
    if (mark.orderId !== undefined) {
        return catalogue.orders.get(mark.orderId)?.end !== undefined;
    }
    const model = findEntry(catalogue, "model", mark.model);
    return upstream.leaving || model?.weightsVersion !== mark.weightsVersion;
}

function planMark(input: PlanInput, id: string, mark: AnnouncedLoad): MarkStep {
    const upstream = findEntry(input.catalogue, "upstream", id);
    const engine = input.engines.get(id);
    if (upstream === undefined) {
        return { kind: "end", isLoaded: false };
    }
    if (engine === undefined) {
        return input.markAgeMs(id) > loadTimeoutMs ? { kind: "end", isLoaded: false } : { kind: "wait" };
    }
    if (engine.state.loaded.includes(toWeights(mark))) {
        return planExchange(input, id, mark, engine);
    }
    if (engine.state.loading.length > 0) {
        return { kind: "wait" };
    }
    return isObsolete(input.catalogue, upstream, mark)
        ? { kind: "end", isLoaded: false }
        : { kind: "send", order: planAction(id, mark, "load", mark.weightsVersion) };
}

/** Upstreams that load without an announcement, as after an order of another system. */
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

/** An engine that was moved, then crashed and came back without the weights, is loaded again while the rollout lasts. */
function isEmptied(input: PlanInput, model: Model, upstream: Upstream): boolean {
    const engine = input.engines.get(upstream.id);
    return engine !== undefined && !input.catalogue.loads.has(upstream.id)
        && !engine.state.loaded.includes(`${model.id}@${model.weightsVersion}`);
}

interface RolloutPlan {
    readonly begun: OrderProgress["begun"];
    readonly isDone: boolean;
}

/** Engines that serve nothing go first: their load costs no serving engine. */
function planRollout(input: PlanInput, model: Model, free: number, taken: ReadonlySet<string>): RolloutPlan {
    const { catalogue } = input;
    const engines = listEngines(catalogue, model.id);
    const target = model.weightsVersion;
    const waiting = engines.filter(one =>
        findServedVersion(catalogue, model.id, one.id) !== target || isEmptied(input, model, one)
    );
    const hasMark = [...catalogue.loads.values()].some(mark => mark.model === model.id && mark.orderId === undefined);
    if (waiting.length === 0 && !hasMark) {
        return { begun: [], isDone: true };
    }
    if (!input.hasWeights(`${model.id}@${target}`)) {
        return { begun: [], isDone: false };
    }
    let serving = engines.filter(one => isServing(input, model.id, one) && !taken.has(one.id)).length;
    const least = Math.ceil(model.minimumServingShare * engines.length);
    const ready = waiting.filter(one =>
        input.engines.has(one.id) && !catalogue.loads.has(one.id) && !taken.has(one.id)
    );
    const ranked = [...ready].sort((left, right) =>
        Number(isServing(input, model.id, left)) - Number(isServing(input, model.id, right))
    );
    const begun: OrderProgress["begun"][number][] = [];
    for (const upstream of ranked) {
        const loss = isServing(input, model.id, upstream) ? 1 : 0;
        if (begun.length >= free || serving - loss < least) {
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
        return { kind: "end", outcome: "expired", detail: "the upstream is not in the catalogue any more" };
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
 * Plans the next steps. Only the first announced loads, up to the policy's bound, are sent; the rest wait for a free slot.
 *
 * @param input - The fold and what was read back.
 * @returns What to record, then what to send.
 * @example
 * planOrders({ catalogue, engines, markAgeMs, wallMs, hasWeights }).sends;
 */
export function planOrders(input: PlanInput): Plan {
    const { catalogue } = input;
    const slots = (findEntry(catalogue, "policy", "policy")?.maxConcurrentLoads ?? 1) - countForeignLoads(input);
    const sends: PlannedOrder[] = [];
    const ended: OrderProgress["ended"][number][] = [];
    for (const [index, [upstream, mark]] of [...catalogue.loads].entries()) {
        const step = planMark(input, upstream, mark);
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
    const taken = new Set<string>();
    for (const { order, end } of catalogue.orders.values()) {
        const isWaiting = end === undefined && ordersEnded.length < maxItems;
        const step: OrderStep = isWaiting
            ? planOrder(input, order, countFree() > 0 && !taken.has(order.upstream))
            : { kind: "wait" };
        if (step.kind === "end") {
            ordersEnded.push({ orderId: order.orderId, outcome: step.outcome, detail: step.detail });
        }
        else if (step.kind === "begin") {
            const { upstream, model, weightsVersion, orderId } = order;
            taken.add(upstream);
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
        const rolling = planRollout(input, entry, Math.max(0, countFree()), taken);
        rolling.begun.forEach(one => taken.add(one.upstream));
        begun.push(...rolling.begun);
        if (rolling.isDone) {
            rolledOut.push(`${entry.id}@${entry.weightsVersion}`);
        }
    }
    return { progress: { begun, ended: ended.slice(0, maxItems), ordersEnded, rolledOut }, sends };
}
