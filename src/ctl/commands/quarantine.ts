/**
 * @module
 * `reedwardctl quarantine`: the prompt parts that are held back because engines ended under them.
 */
import type { QuarantineRecord } from "../../core/quarantine/quarantineMessage.js";
import { liftQuarantine, readQuarantine } from "../../io/peers/readQuarantine.js";
import { formatTable } from "../_lib/formatTable.js";
import type { CommandResult, Invocation } from "../commandTypes.js";
import { exitCodes } from "../exitCodes.js";

function toRow({ part, state, remainingMs, engines }: QuarantineRecord): readonly string[] {
    return [part, state, `${Math.round(remainingMs / 1_000)} s`, engines.join(" ")];
}

async function lift({ address }: Invocation, part: string): Promise<CommandResult> {
    const isLifted = await liftQuarantine(address, part);
    return {
        exitCode: isLifted ? exitCodes.done : exitCodes.notFound,
        json: { outcome: isLifted ? "done" : "notFound", part },
        lines: [isLifted ? `${part} is no longer held back` : `${part} is not held back`],
    };
}

/**
 * Lists the parts; with `--lift` it lets requests with one part through again, on all instances.
 *
 * @param invocation - The invocation.
 * @returns A row for each part.
 */
export async function quarantine(invocation: Invocation): Promise<CommandResult> {
    const { lift: part } = invocation.flags;
    if (part !== "") {
        return lift(invocation, part);
    }
    const records = (await readQuarantine(invocation.address)).filter(record => record.state !== "lifted");
    const rows = records.map(toRow);
    return {
        exitCode: exitCodes.done,
        json: { outcome: "done", parts: records },
        lines: rows.length === 0 ? ["no part is held back"] : formatTable(["part", "state", "left", "engines"], rows),
    };
}
