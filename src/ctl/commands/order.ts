/**
 * @module
 * `reedwardctl order`: gives an order to one engine.
 */
import { randomUUID } from "node:crypto";
import { type Order, orderSchema } from "../../core/catalogue/orderRecord.js";
import type { OrderAnswer } from "../../io/operator/operatorRouter.js";
import { readCatalogue } from "../_lib/readCatalogue.js";
import { reportUsageError } from "../_lib/reportUsageError.js";
import type { CommandResult, Invocation } from "../commandTypes.js";
import { exitCodes } from "../exitCodes.js";

/** Maximum number of retries, under the same id, of an order whose outcome is unknown. */
const maxRetries = 2;

/** Time to wait until the ordered state is observed at the engine, in milliseconds. */
const waitTimeoutMs = 600_000;
const pollIntervalMs = 500;

function createOrder(invocation: Invocation): Order | string {
    const [action, upstream] = invocation.operands;
    const { flags } = invocation;
    const parsed = orderSchema.safeParse({
        kind: "order",
        orderId: flags.changeId ?? randomUUID(),
        author: flags.author,
        upstream,
        action,
        model: flags.model,
        weightsVersion: flags.weights,
        role: flags.role,
        givenMs: Date.now(),
    });
    const issue = parsed.error?.issues[0];
    return parsed.success ? parsed.data : `${issue?.path.join(".") ?? ""}: ${issue?.message ?? "invalid"}`;
}

async function send(payload: string, invocation: Invocation): Promise<OrderAnswer> {
    for (let retry = 0;; retry += 1) {
        try {
            const answer = await invocation.client.operator.giveOrder.mutate(payload);
            if (answer.outcome !== "unknown" || retry === maxRetries) {
                return answer;
            }
        }
        catch (error) {
            if (retry === maxRetries) {
                return { outcome: "unknown", detail: error instanceof Error ? error.message : String(error) };
            }
        }
    }
}

async function waitForEnd(orderId: string, invocation: Invocation): Promise<CommandResult> {
    const endMs = invocation.nowMs() + waitTimeoutMs;
    while (invocation.nowMs() < endMs) {
        const held = (await readCatalogue(invocation)).orders.get(orderId);
        if (held?.end !== undefined) {
            const { outcome, detail } = held.end;
            const exitCode = outcome === "done" ? exitCodes.done : exitCodes.failed;
            return { exitCode, json: { outcome, orderId, detail }, lines: [`${outcome} ${orderId} ${detail}`.trim()] };
        }
        await invocation.delay(pollIntervalMs);
    }
    const line = `unknown ${orderId}: effect not observed within ${waitTimeoutMs / 1_000} s`;
    return { exitCode: exitCodes.unknown, json: { outcome: "unknown", orderId, detail: line }, lines: [line] };
}

/**
 * Gives an order; with `--wait` the command ends when its effect was observed at the engine.
 *
 * @param invocation - The invocation; its operands are the action and the upstream's id.
 * @returns The outcome of the order.
 */
export async function order(invocation: Invocation): Promise<CommandResult> {
    const created = createOrder(invocation);
    if (typeof created === "string") {
        return reportUsageError([created]);
    }
    const answer = await send(JSON.stringify(created), invocation);
    if (answer.outcome === "accepted" && invocation.flags.wait) {
        return await waitForEnd(created.orderId, invocation);
    }
    return {
        exitCode: exitCodes[answer.outcome],
        json: { ...answer, orderId: created.orderId },
        lines: [`${answer.outcome} ${created.orderId} ${answer.detail}`.trim()],
    };
}
