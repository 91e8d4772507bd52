/**
 * @module
 * `reedwardctl order`: gives an order to one engine.
 */
import { randomUUID } from "node:crypto";
import { type Order, orderSchema } from "../../core/catalogue/orderRecord.js";
import type { OrderAnswer } from "../../io/operator/operatorRouter.js";
import { failUsage } from "../_lib/failUsage.js";
import { readCatalogue } from "../_lib/readCatalogue.js";
import type { CommandResult, Invocation } from "../commandTypes.js";
import { exitCodes } from "../exitCodes.js";

/** Times that an order of unknown outcome is sent again under the same id. */
const maxResends = 2;

/** Time to wait for the engine to be read back in the ordered state, in milliseconds. */
const waitBoundMs = 600_000;
const pollPeriodMs = 500;

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
    for (let resend = 0;; resend += 1) {
        try {
            const answer = await invocation.client.operator.giveOrder.mutate(payload);
            if (answer.outcome !== "unknown" || resend === maxResends) {
                return answer;
            }
        }
        catch (error) {
            if (resend === maxResends) {
                return { outcome: "unknown", detail: error instanceof Error ? error.message : String(error) };
            }
        }
    }
}

async function waitForEnd(orderId: string, invocation: Invocation): Promise<CommandResult> {
    const endMs = invocation.nowMs() + waitBoundMs;
    while (invocation.nowMs() < endMs) {
        const held = (await readCatalogue(invocation)).orders.get(orderId);
        if (held?.end !== undefined) {
            const { outcome, detail } = held.end;
            const exitCode = outcome === "done" ? exitCodes.done : exitCodes.failed;
            return { exitCode, json: { outcome, orderId, detail }, lines: [`${outcome} ${orderId} ${detail}`.trim()] };
        }
        await invocation.delay(pollPeriodMs);
    }
    const line = `unknown ${orderId}: not read back within ${waitBoundMs / 1_000} s`;
    return { exitCode: exitCodes.unknown, json: { outcome: "unknown", orderId, detail: line }, lines: [line] };
}

/**
 * Gives an order; with `--wait` the engine is read back before the command ends.
 *
 * @param invocation - The invocation; its operands are the action and the upstream's id.
 * @returns What became of the order.
 */
export async function order(invocation: Invocation): Promise<CommandResult> {
    const created = createOrder(invocation);
    if (typeof created === "string") {
        return failUsage([created]);
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
