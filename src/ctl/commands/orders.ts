/**
 * @module
 * `reedwardctl orders`: orders, announced loads and rollouts.
 */
import { formatTable } from "../_lib/formatTable.js";
import { readCatalogue } from "../_lib/readCatalogue.js";
import type { CommandResult, Invocation } from "../commandTypes.js";
import { exitCodes } from "../exitCodes.js";

/**
 * Lists unfinished and recently ended orders, loads in progress and rollouts.
 *
 * @param invocation - The invocation.
 * @returns The lists.
 */
export async function orders(invocation: Invocation): Promise<CommandResult> {
    const catalogue = await readCatalogue(invocation);
    const held = [...catalogue.orders.values()];
    const loads = [...catalogue.loads].map(([upstream, mark]) => ({ upstream, ...mark }));
    const rollouts = [...catalogue.entries.values()].flatMap(({ entry, rollout }) =>
        entry.kind === "model" && rollout !== undefined
            ? [{
                model: entry.id,
                from: rollout.from,
                to: entry.weightsVersion,
                moved: Object.keys(rollout.moved).length,
            }]
            : []
    );
    const head = ["ORDER", "ACTION", "UPSTREAM", "WEIGHTS", "AUTHOR", "STATE"];
    const rows = held.map(({ order, end }) => [
        order.orderId,
        order.action,
        order.upstream,
        order.model === "" ? "-" : `${order.model}@${order.weightsVersion}`,
        order.author,
        end === undefined ? "unfinished" : `${end.outcome} ${end.detail}`.trim(),
    ]);
    const lines = [
        ...formatTable(head, rows),
        ...loads.map(load => `loading ${load.model}@${load.weightsVersion} at ${load.upstream}`),
        ...rollouts.map(one => `rollout of ${one.model} from ${one.from} to ${one.to}: ${one.moved} upstreams moved`),
    ];
    return { exitCode: exitCodes.done, json: { outcome: "done", orders: held, loads, rollouts }, lines };
}
