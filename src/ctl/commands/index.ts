/**
 * @module
 * The commands of reedwardctl by name.
 */
import type { Command } from "../commandTypes.js";
import { apply } from "./apply.js";
import { diff } from "./diff.js";
import { drain } from "./drain.js";
import { order } from "./order.js";
import { orders } from "./orders.js";
import { preview } from "./preview.js";
import { quarantine } from "./quarantine.js";
import { signals } from "./signals.js";
import { status } from "./status.js";
import { upstreams } from "./upstreams.js";
import { validate } from "./validate.js";
import { why } from "./why.js";

function define(operands: string, summary: string, run: Command["run"]): Command {
    return { operands, summary, requiredOperands: operands === "" ? 0 : operands.split(" ").length, run };
}

/** The commands. */
export const commands: ReadonlyMap<string, Command> = new Map([
    ["validate", define("FILE", "Check a catalogue file without a daemon.", validate)],
    ["diff", define("FILE", "Show what applying the file would change, and the base for apply.", diff)],
    ["apply", define("FILE", "Publish what differs as one change.", apply)],
    ["status", define("", "Show every instance's revision and contact with the log.", status)],
    ["upstreams", define("", "List the upstreams and what they serve.", upstreams)],
    ["order", define("ACTION UPSTREAM", "Order an engine to load, unload, take a role or drain.", order)],
    ["orders", define("", "List orders, loads and rollouts.", orders)],
    ["drain", define("UPSTREAM", "Take an upstream out of routing.", drain)],
    ["quarantine", define("", "List prompt parts that are held back since engines ended under them.", quarantine)],
    ["signals", define("", "List what upstreams have stated about the requests that they want.", signals)],
    ["preview", define("HOST/PATH", "Tell where a request would go now, and why, without sending it.", preview)],
    ["why", define("REQUEST_ID", "Tell why a request went where it went.", why)],
]);
