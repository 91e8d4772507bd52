/**
 * @module
 * `reedwardctl preview`: where an instance would send a request now, and why; the request is not sent.
 */
import type { PlacementPreview, PreviewedUpstream, RequestDescription } from "../../core/placement/placementPreview.js";
import { readPreview } from "../../io/peers/readPreview.js";
import { formatTable } from "../_lib/formatTable.js";
import { parsePromptParts } from "../_lib/parsePromptParts.js";
import { reportUsageError } from "../_lib/reportUsageError.js";
import type { CommandFlags, CommandResult, Invocation } from "../commandTypes.js";
import { exitCodes } from "../exitCodes.js";

function toOptional(text: string): string | undefined {
    return text === "" ? undefined : text;
}

/** Returns the described request, or what is wrong with its description. */
function describeRequest(operand: string, flags: CommandFlags): RequestDescription | string {
    const pathStart = operand.indexOf("/");
    if (pathStart < 1) {
        return `expected HOST/PATH, such as letters.example/adapt/7, not "${operand}"`;
    }
    const parts = parsePromptParts(flags.parts);
    if (parts === undefined) {
        return "--parts: expected ID:TOKENS, separated by commas";
    }
    if (parts.length > 0 && flags.model === "") {
        return "--parts: a prompt needs a model";
    }
    if (!/^\d{1,7}$/.test(flags.output)) {
        return "--output: expected a number of tokens";
    }
    return {
        host: operand.slice(0, pathStart),
        target: operand.slice(pathStart),
        customer: toOptional(flags.customer),
        model: toOptional(flags.model),
        parts,
        outputTokens: Number(flags.output),
    };
}

function toRow(one: PreviewedUpstream): readonly string[] {
    return [
        one.upstream,
        one.failureDomain,
        one.state,
        `${one.requests}/${one.slots}`,
        String(one.heldTokens),
        String(one.fetchedTokens),
        one.cost === undefined ? "-" : String(Math.round(one.cost)),
    ];
}

function formatPreview(preview: PlacementPreview): readonly string[] {
    const { instance, route, service, tableVersion, detail, waiting, upstreams } = preview;
    const head = ["UPSTREAM", "DOMAIN", "STATE", "REQUESTS", "KEPT", "FETCHED", "COST"];
    return [
        detail,
        `at ${instance}: route ${route}, service ${service}, configuration version ${tableVersion}; ${waiting} requests wait`,
        ...(upstreams.length === 0 ? [] : formatTable(head, upstreams.map(toRow))),
    ];
}

/**
 * Asks the instance of `--address`.
 *
 * @param invocation - The invocation; its operand is the host and path of the request.
 * @returns What would happen to the request, with a row for each upstream.
 */
export async function preview(invocation: Invocation): Promise<CommandResult> {
    const description = describeRequest(invocation.operands[0]!, invocation.flags);
    if (typeof description === "string") {
        return reportUsageError([description]);
    }
    const answer = await readPreview(invocation.address, description);
    return {
        exitCode: exitCodes.done,
        json: { outcome: "done", preview: answer },
        lines: formatPreview(answer),
    };
}
