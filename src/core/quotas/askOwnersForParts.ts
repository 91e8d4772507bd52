/**
 * @module
 * Asks all owners of a quota for a request that exceeds what one of them may grant at once.
 */
import type { CancelTimer } from "../time/clock.js";
import type { QuotaAsk, QuotaAsker, QuotaAskResult, QuotaGrant } from "./createQuotaAsker.js";

/**
 * Asks each owner for an equal part of a request. It is granted when all have granted theirs; else what was granted goes back.
 *
 * @param asker - Asks one owner.
 * @param request - The request.
 * @param owners - Owners of its customer's quota.
 * @param onResult - Receives the result.
 * @returns A function that gives the ask up.
 * @example
 * askOwnersForParts(asker, request, ["entry-1", "entry-2"], resume);
 */
export function askOwnersForParts(
    asker: Pick<QuotaAsker, "ask" | "giveBack">,
    request: QuotaAsk,
    owners: readonly string[],
    onResult: (result: QuotaAskResult) => void,
): CancelTimer {
    const cost = request.cost / owners.length;
    const open = new Set<CancelTimer>();
    const parts: QuotaGrant[] = [];
    let isOver = false;

    function end(): void {
        isOver = true;
        open.forEach(cancel => cancel());
        parts.forEach(asker.giveBack);
    }

    function receive(result: QuotaAskResult): void {
        if (result.kind === "refused") {
            end();
            onResult({ ...result, owners });
            return;
        }
        parts.push(result.grant);
        if (parts.length === owners.length) {
            isOver = true;
            onResult({ kind: "granted", grant: { ...result.grant, cost: request.cost, mark: undefined, parts } });
        }
    }

    for (const owner of owners) {
        let isAnswered = false;
        let cancel: CancelTimer = () => undefined;
        cancel = asker.ask({ ...request, cost, owner }, result => {
            isAnswered = true;
            open.delete(cancel);
            if (isOver) {
                return;
            }
            receive(result);
        });
        if (!isAnswered) {
            open.add(cancel);
        }
    }
    return () => {
        if (!isOver) {
            end();
        }
    };
}
