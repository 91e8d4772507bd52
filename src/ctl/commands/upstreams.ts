/**
 * @module
 * `reedwardctl upstreams`: the upstreams of the catalogue and what they serve.
 */
import { type Catalogue, listEntries } from "../../core/catalogue/catalogue.js";
import type { Upstream } from "../../core/catalogue/catalogueEntry.js";
import { findServedVersion } from "../../core/orders/findServedVersion.js";
import type { UpstreamState } from "../../io/operator/readUpstreamStates.js";
import { formatTable } from "../_lib/formatTable.js";
import { readCatalogue } from "../_lib/readCatalogue.js";
import type { CommandResult, Invocation } from "../commandTypes.js";
import { exitCodes } from "../exitCodes.js";

interface UpstreamRow {
    readonly id: string;
    readonly role: string;
    readonly failureDomain: string;
    readonly address: string;
    readonly condition: "inService" | "loading" | "leaving";
    /** Models or services, models with the weights version that requests are sent for. */
    readonly serves: readonly string[];
    /** Queried state; undefined when it was not requested or the engine did not answer. */
    readonly state: UpstreamState["state"];
}

function findCondition(catalogue: Catalogue, upstream: Upstream): UpstreamRow["condition"] {
    if (upstream.leaving) {
        return "leaving";
    }
    return catalogue.loads.has(upstream.id) ? "loading" : "inService";
}

function toRow(catalogue: Catalogue, upstream: Upstream, states: readonly UpstreamState[]): UpstreamRow {
    const { id, role, failureDomain, address } = upstream;
    const serves = upstream.serves.map(one => {
        const version = role === "engine" ? findServedVersion(catalogue, one, id) : undefined;
        return version === undefined ? one : `${one}@${version}`;
    });
    const { state } = states.find(one => one.upstream === id) ?? { state: undefined };
    return { id, role, failureDomain, address, condition: findCondition(catalogue, upstream), serves, state };
}

/**
 * Lists the upstreams; with `--state` also queries which weights the engines have loaded.
 *
 * @param invocation - The invocation.
 * @returns A row for each upstream.
 */
export async function upstreams(invocation: Invocation): Promise<CommandResult> {
    const catalogue = await readCatalogue(invocation);
    const states = invocation.flags.state ? await invocation.client.operator.readUpstreamStates.query() : [];
    const rows = listEntries(catalogue, "upstream").map(one => toRow(catalogue, one, states));
    const head = ["UPSTREAM", "ROLE", "DOMAIN", "ADDRESS", "CONDITION", "SERVES"];
    const cells = rows.map(row => {
        const loaded = row.state === undefined ? "-" : row.state.loaded.join(",");
        const { id, role, failureDomain, address, condition, serves } = row;
        return [id, role, failureDomain, address, condition, serves.join(","), loaded];
    });
    const table = formatTable(invocation.flags.state ? [...head, "LOADED"] : head, cells);
    const lines = invocation.flags.state ? table : formatTable(head, cells.map(row => row.slice(0, -1)));
    return { exitCode: exitCodes.done, json: { outcome: "done", upstreams: rows }, lines };
}
