/**
 * @module
 * Appends an operator's order to the log and waits until it is folded.
 */
import { parseJsonValue } from "../../core/_lib/parseJsonValue.js";
import { findEntry } from "../../core/catalogue/catalogue.js";
import { type Order, orderSchema } from "../../core/catalogue/orderRecord.js";
import type { LogPort } from "../../core/ports/logPort.js";
import type { Clock } from "../../core/time/clock.js";
import type { CatalogueFollower } from "../catalogue/followCatalogue.js";
import type { OrderAnswer } from "../operator/operatorRouter.js";

/** Dependencies of giving an order. */
export interface GiveOrderDependencies {
    readonly log: LogPort | undefined;
    readonly clock: Clock;
    readonly follower: CatalogueFollower;
}

const foldTimeoutMs = 4_000;
const foldPollMs = 20;

function parseOrder(payload: string): Order | string {
    try {
        const parsed = orderSchema.safeParse(parseJsonValue(payload));
        const issue = parsed.error?.issues[0];
        return parsed.success ? parsed.data : `${issue?.path.join(".") ?? ""}: ${issue?.message ?? "invalid"}`;
    }
    catch {
        return "the order is not JSON";
    }
}

function findProblem(order: Order, follower: CatalogueFollower): string | undefined {
    const upstream = findEntry(follower.current(), "upstream", order.upstream);
    if (upstream?.role !== "engine") {
        return `upstream "${order.upstream}" is not an engine of the catalogue`;
    }
    const needsWeights = order.action === "load" || order.action === "unload";
    if (needsWeights && (order.model === "" || order.weightsVersion === "")) {
        return `${order.action} needs a model and a weights version`;
    }
    if (needsWeights && findEntry(follower.current(), "model", order.model) === undefined) {
        return `model "${order.model}" is not in the catalogue`;
    }
    return order.action === "role" && order.role === "" ? "action role needs the name of a role" : undefined;
}

async function waitUntilFolded(orderId: string, dependencies: GiveOrderDependencies): Promise<boolean> {
    const endMs = dependencies.clock.now() + foldTimeoutMs;
    while (dependencies.clock.now() < endMs) {
        if (dependencies.follower.current().orders.has(orderId)) {
            return true;
        }
        await new Promise<void>(resolve => dependencies.clock.after(foldPollMs, resolve));
    }
    return false;
}

/**
 * Gives an order. When the response to the append is lost, the order id in the fold decides.
 *
 * @param payload - The order as JSON text.
 * @param dependencies - The log and the follower.
 * @returns Whether the order was accepted into the log.
 */
export async function giveOrder(payload: string, dependencies: GiveOrderDependencies): Promise<OrderAnswer> {
    const order = parseOrder(payload);
    if (typeof order === "string") {
        return { outcome: "malformed", detail: order };
    }
    if (dependencies.follower.current().orders.has(order.orderId)) {
        return { outcome: "accepted", detail: "" };
    }
    const problem = findProblem(order, dependencies.follower);
    if (problem !== undefined) {
        return { outcome: "malformed", detail: problem };
    }
    if (dependencies.log === undefined) {
        return { outcome: "notRun", detail: "this instance has no log setting" };
    }
    const appended = await dependencies.log.append("catalogue", [payload]);
    if (appended.isErr && (appended.error.kind === "notSent" || appended.error.kind === "refused")) {
        return { outcome: "notRun", detail: `log: ${appended.error.detail}` };
    }
    const isFolded = await waitUntilFolded(order.orderId, dependencies);
    return isFolded
        ? { outcome: "accepted", detail: "" }
        : { outcome: "unknown", detail: "not folded within 4 s; retry with the same order id" };
}
