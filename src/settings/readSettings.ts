/**
 * @module
 * Reads and checks the daemon's settings from flags and environment variables.
 */
import { parseArgs } from "node:util";
import { err, ok, type Result } from "true-myth/result";
import { type SettingDefinition, type SettingName, type Settings, settingsTable } from "./settingsTable.js";

/** Action and settings of the command line. */
export interface CommandLine {
    readonly action: "run" | "help" | "version" | "checkSettings";
    readonly settings: Settings;
}

/** A missing or invalid setting. */
export interface SettingProblem {
    /** The flag, or the argument when it is unknown. */
    readonly setting: string;
    readonly expected: string;
}

const names = Object.keys(settingsTable) as readonly SettingName[];

/**
 * Names the environment variable of a setting.
 *
 * @param flag - The flag without dashes.
 * @returns The variable's name.
 * @example
 * toVariable("log-level"); // "REEDWARD_LOG_LEVEL"
 */
export function toVariable(flag: string): string {
    return `REEDWARD_${flag.toUpperCase().replaceAll("-", "_")}`;
}

function createFlagOptions(): Record<string, { type: "string" | "boolean"; short?: string; }> {
    const options: Record<string, { type: "string" | "boolean"; short?: string; }> = {
        help: { type: "boolean", short: "h" },
        version: { type: "boolean" },
        "check-settings": { type: "boolean" },
    };
    for (const name of names) {
        options[settingsTable[name].flag] = { type: "string" };
    }
    return options;
}

function checkSetting(definition: SettingDefinition, given: string | undefined): Result<unknown, SettingProblem> {
    const text = given ?? definition.fallback;
    if (text === undefined && definition.isRequired) {
        const expected = `a value, by --${definition.flag} or ${toVariable(definition.flag)}`;
        return err({ setting: `--${definition.flag}`, expected });
    }
    const parsed = definition.schema.safeParse(text);
    if (!parsed.success) {
        return err({ setting: `--${definition.flag}`, expected: parsed.error.issues[0]?.message ?? "another value" });
    }
    return ok(parsed.data);
}

type Flags = Readonly<Record<string, string | boolean | undefined>>;

function parseFlags(args: readonly string[]): Result<Flags, SettingProblem> {
    try {
        return ok(parseArgs({ args: [...args], options: createFlagOptions(), strict: true }).values as Flags);
    }
    catch (error) {
        return err({ setting: args.join(" "), expected: error instanceof Error ? error.message : "known flags" });
    }
}

function findAction(flags: Flags): CommandLine["action"] {
    if (flags["help"] === true) {
        return "help";
    }
    if (flags["version"] === true) {
        return "version";
    }
    return flags["check-settings"] === true ? "checkSettings" : "run";
}

/**
 * Reads the settings; a flag takes precedence over its environment variable.
 *
 * @param args - Arguments after the program's name.
 * @param environment - The process's environment.
 * @returns The action with checked settings, or every problem found.
 * @example
 * readSettings(process.argv.slice(2), process.env);
 */
export function readSettings(
    args: readonly string[],
    environment: Readonly<Record<string, string | undefined>>,
): Result<CommandLine, readonly SettingProblem[]> {
    const flags = parseFlags(args);
    if (flags.isErr) {
        return err([flags.error]);
    }
    const action = findAction(flags.value);
    const values: Record<string, unknown> = {};
    const problems: SettingProblem[] = [];
    for (const name of names) {
        const definition = settingsTable[name];
        const flag = flags.value[definition.flag] as string | undefined;
        const checked = checkSetting(definition, flag ?? environment[toVariable(definition.flag)]);
        if (checked.isErr) {
            problems.push(checked.error);
        }
        else {
            values[name] = checked.value;
        }
    }
    const isInformational = action === "help" || action === "version";
    if (problems.length > 0 && !isInformational) {
        return err(problems);
    }
    return ok({ action, settings: values as unknown as Settings });
}
