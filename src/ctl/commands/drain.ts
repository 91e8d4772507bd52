/**
 * @module
 * `reedwardctl drain`: takes an upstream out of routing, or back in.
 */
import { findEntry } from "../../core/catalogue/catalogue.js";
import { diffEntries } from "../../core/catalogue/diffEntries.js";
import { publishChange } from "../_lib/publishChange.js";
import { readCatalogue } from "../_lib/readCatalogue.js";
import type { CommandResult, Invocation } from "../commandTypes.js";
import { exitCodes } from "../exitCodes.js";

/**
 * Marks an upstream as leaving: within 3 s it receives no new requests, and running ones continue.
 *
 * @param invocation - The invocation; its operand is the upstream's id.
 * @returns The outcome of the change.
 */
export async function drain(invocation: Invocation): Promise<CommandResult> {
    const id = invocation.operands[0]!;
    const catalogue = await readCatalogue(invocation);
    const upstream = findEntry(catalogue, "upstream", id);
    if (upstream === undefined) {
        const line = `upstream "${id}" is not in the catalogue`;
        return { exitCode: exitCodes.notFound, json: { outcome: "notFound", detail: line }, lines: [line] };
    }
    const wanted = { ...upstream, leaving: !invocation.flags.undo };
    const differences = diffEntries(catalogue, [wanted], { isPruning: false });
    if (differences.length === 0) {
        const line = `upstream ${id} is ${wanted.leaving ? "leaving" : "in service"} already`;
        return { exitCode: exitCodes.done, json: { outcome: "done", detail: line }, lines: [line] };
    }
    return await publishChange(differences, invocation);
}
