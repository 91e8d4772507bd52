/**
 * @module
 * Parses and runs one command of reedwardctl.
 */
import { randomUUID } from "node:crypto";
import { readFileSync } from "node:fs";
import { parseArgs } from "node:util";
import { type CatalogueChange, type CatalogueEntry, catalogueEntrySchema } from "../core/catalogue/catalogueEntry.js";
import type { CatalogueSnapshot } from "../core/catalogue/snapshot.js";
import { createPeerClients, type PeerClient } from "../io/peers/createPeerClient.js";
import { type ExitCode, exitCodes } from "./exitCodes.js";

/** Where a command writes. */
export interface CommandOutput {
    readonly writeOut: (text: string) => void;
    readonly writeError: (text: string) => void;
}

/** Environment variables that reedwardctl reads. */
export type CommandEnvironment = Readonly<Record<string, string | undefined>>;

const usage = `Usage: reedwardctl [--address IP:PORT] [--json] COMMAND

  validate FILE   Check a catalogue file without a daemon.
  apply FILE      Publish the file's entries as one change.
  status          Show the instance's state and its members.

The operator secret is read from REEDWARD_OPERATOR_SECRET; the address also from REEDWARD_ADDRESS.
Exit codes: 0 done, 1 failed, 2 wrong usage or file, 3 conflict, 4 outcome unknown.
`;

const callTimeoutMs = 8_000;

interface Invocation {
    readonly command: string;
    readonly operand: string | undefined;
    readonly isJson: boolean;
    readonly client: () => PeerClient;
}

/** Reads a catalogue file: a JSON array of entries, or an object with the array as "entries". */
function readEntries(file: string): readonly CatalogueEntry[] | string {
    let value: unknown;
    try {
        value = JSON.parse(readFileSync(file, "utf8"));
    }
    catch (err) {
        return `${file}: ${err instanceof Error ? err.message : String(err)}`;
    }
    const list = Array.isArray(value) ? value : (value as { entries?: unknown; } | undefined)?.entries;
    if (!Array.isArray(list)) {
        return `${file}: expected an array of entries`;
    }
    const entries: CatalogueEntry[] = [];
    for (const [index, one] of list.entries()) {
        const parsed = catalogueEntrySchema.safeParse(one);
        if (!parsed.success) {
            const issue = parsed.error.issues[0];
            return `${file}: entry ${index}: ${issue?.path.join(".") ?? ""}: ${issue?.message ?? "invalid"}`;
        }
        entries.push(parsed.data);
    }
    return entries;
}

function toChange(entries: readonly CatalogueEntry[], snapshot: CatalogueSnapshot): CatalogueChange {
    const revisions = new Map(snapshot.entries.map(held => [`${held.entry.kind}/${held.entry.id}`, held.revision]));
    const edits = entries.map(entry => {
        const key = `${entry.kind}/${entry.id}`;
        return { key, basedOn: revisions.get(key) ?? 0, entry };
    });
    return { kind: "change", changeId: randomUUID(), author: "reedwardctl", edits };
}

async function validate(invocation: Invocation, output: CommandOutput): Promise<ExitCode> {
    const entries = readEntries(invocation.operand ?? "");
    if (typeof entries === "string") {
        output.writeError(`reedwardctl: ${entries}\n`);
        return exitCodes.wrongUsage;
    }
    output.writeOut(
        invocation.isJson
            ? `${JSON.stringify({ entries: entries.length })}\n`
            : `${entries.length} entries are right\n`,
    );
    return exitCodes.done;
}

async function apply(invocation: Invocation, output: CommandOutput): Promise<ExitCode> {
    const entries = readEntries(invocation.operand ?? "");
    if (typeof entries === "string") {
        output.writeError(`reedwardctl: ${entries}\n`);
        return exitCodes.wrongUsage;
    }
    const { operator } = invocation.client();
    const change = toChange(entries, await operator.readCatalogue.query());
    const answer = await operator.applyChange.mutate(JSON.stringify(change));
    const line = `${answer.outcome} ${change.changeId} ${answer.detail}`.trim();
    output.writeOut(`${invocation.isJson ? JSON.stringify(answer) : line}\n`);
    return exitCodes[answer.outcome];
}

async function status(invocation: Invocation, output: CommandOutput): Promise<ExitCode> {
    const answer = await invocation.client().operator.status.query();
    if (invocation.isJson) {
        output.writeOut(`${JSON.stringify(answer)}\n`);
        return exitCodes.done;
    }
    output.writeOut(`instance ${answer.instance}  ready ${answer.isReady}  revision ${answer.nextOffset}  `);
    output.writeOut(
        `log contact ${
            answer.logContactAgeMs === undefined ? "never" : `${Math.round(answer.logContactAgeMs)} ms ago`
        }\n`,
    );
    for (const member of answer.members) {
        output.writeOut(
            `  ${member.instance.padEnd(20)} ${member.state.padEnd(8)} ${
                member.failureDomain.padEnd(12)
            } ${member.callerAddress}\n`,
        );
    }
    return exitCodes.done;
}

const commands: Readonly<Record<string, (invocation: Invocation, output: CommandOutput) => Promise<ExitCode>>> = {
    validate,
    apply,
    status,
};

function parseInvocation(args: readonly string[], environment: CommandEnvironment): Invocation | string {
    try {
        const { values, positionals } = parseArgs({
            args: [...args],
            allowPositionals: true,
            options: {
                address: { type: "string" },
                json: { type: "boolean" },
                help: { type: "boolean", short: "h" },
            },
        });
        const address = values.address ?? environment["REEDWARD_ADDRESS"] ?? "127.0.0.1:8081";
        const secret = environment["REEDWARD_OPERATOR_SECRET"] ?? "";
        return {
            command: values.help === true ? "help" : positionals[0] ?? "help",
            operand: positionals[1],
            isJson: values.json ?? false,
            client: () => createPeerClients(secret, callTimeoutMs).connect(address),
        };
    }
    catch (err) {
        return err instanceof Error ? err.message : String(err);
    }
}

/**
 * Runs one command.
 *
 * @param args - Arguments after the program's name.
 * @param environment - The process's environment.
 * @param output - Where the command writes.
 * @returns The exit code.
 */
export async function runCommand(
    args: readonly string[],
    environment: CommandEnvironment,
    output: CommandOutput,
): Promise<ExitCode> {
    const invocation = parseInvocation(args, environment);
    if (typeof invocation === "string") {
        output.writeError(`reedwardctl: ${invocation}\n`);
        return exitCodes.wrongUsage;
    }
    if (invocation.command === "help") {
        output.writeOut(usage);
        return exitCodes.done;
    }
    const command = commands[invocation.command];
    if (command === undefined) {
        output.writeError(`reedwardctl: unknown command "${invocation.command}"\n${usage}`);
        return exitCodes.wrongUsage;
    }
    try {
        return await command(invocation, output);
    }
    catch (err) {
        output.writeError(`reedwardctl: ${err instanceof Error ? err.message : String(err)}\n`);
        return exitCodes.failed;
    }
}
