/**
 * @module
 * Parses the arguments of reedwardctl.
 */
import { parseArgs } from "node:util";
import { err, ok, type Result } from "true-myth/result";
import type { CommandFlags } from "./commandTypes.js";

/** Environment variables that reedwardctl reads. */
export type CommandEnvironment = Readonly<Record<string, string | undefined>>;

/** The parsed arguments. */
export interface CommandLine {
    /** Name of the command; "help" without one. */
    readonly command: string;
    readonly operands: readonly string[];
    readonly flags: CommandFlags;
    readonly isJson: boolean;
    readonly address: string;
    readonly secret: string;
}

const defaultAddress = "127.0.0.1:8081";

function parseFlags(args: readonly string[]) {
    return parseArgs({
        args: [...args],
        allowPositionals: true,
        options: {
            address: { type: "string" },
            json: { type: "boolean", default: false },
            help: { type: "boolean", short: "h", default: false },
            prune: { type: "boolean", default: false },
            base: { type: "string" },
            wait: { type: "boolean", default: false },
            "change-id": { type: "string" },
            author: { type: "string" },
            model: { type: "string", default: "" },
            weights: { type: "string", default: "" },
            role: { type: "string", default: "" },
            state: { type: "boolean", default: false },
            undo: { type: "boolean", default: false },
            customers: { type: "boolean", default: false },
            customer: { type: "string", default: "" },
            parts: { type: "string", default: "" },
            output: { type: "string", default: "0" },
            lift: { type: "string", default: "" },
            log: { type: "string", multiple: true, default: [] },
        },
    });
}

/**
 * Parses the arguments; a flag takes precedence over its environment variable.
 *
 * @param args - Arguments after the program's name.
 * @param environment - The process's environment.
 * @returns The command line, or an error message.
 */
export function parseInvocation(
    args: readonly string[],
    environment: CommandEnvironment,
): Result<CommandLine, string> {
    let parsed: ReturnType<typeof parseFlags>;
    try {
        parsed = parseFlags(args);
    }
    catch (error) {
        return err(error instanceof Error ? error.message : String(error));
    }
    const { values, positionals } = parsed;
    if (values.base !== undefined && !/^\d{1,15}$/.test(values.base)) {
        return err("--base: expected an offset");
    }
    const [command = "help", ...operands] = positionals;
    return ok({
        command: values.help ? "help" : command,
        operands,
        flags: {
            prune: values.prune,
            base: values.base === undefined ? undefined : Number(values.base),
            wait: values.wait,
            changeId: values["change-id"],
            author: values.author ?? environment["REEDWARD_AUTHOR"] ?? environment["USER"] ?? "reedwardctl",
            model: values.model,
            weights: values.weights,
            role: values.role,
            state: values.state,
            undo: values.undo,
            customers: values.customers,
            customer: values.customer,
            parts: values.parts,
            output: values.output,
            lift: values.lift,
            logs: values.log,
        },
        isJson: values.json,
        address: values.address ?? environment["REEDWARD_ADDRESS"] ?? defaultAddress,
        secret: environment["REEDWARD_OPERATOR_SECRET"] ?? "",
    });
}
