/**
 * @module
 * The daemon's help text, generated from the table of settings.
 */
import { toVariable } from "./readSettings.js";
import { type SettingDefinition, settingsTable } from "./settingsTable.js";

function formatSetting(definition: SettingDefinition): string {
    const required = definition.isRequired ? "required" : undefined;
    const fallback = definition.fallback === undefined || definition.fallback === ""
        ? undefined
        : `default ${definition.fallback}`;
    const notes = [toVariable(definition.flag), required, fallback].filter(one => one !== undefined).join(", ");
    return `  --${definition.flag.padEnd(22)} ${definition.description} [${notes}]`;
}

/**
 * Formats the help text.
 *
 * @returns The text, with a line for each setting.
 */
export function formatHelp(): string {
    const lines = Object.values(settingsTable).map(formatSetting);
    return [
        "Usage: reedward [settings]",
        "",
        "Each setting is a flag or an environment variable; the flag takes precedence.",
        "",
        ...lines,
        "",
        "  --check-settings         Check the settings and exit: 0 when they are valid, 2 when not.",
        "  --help, -h               Print this text.",
        "  --version                Print the version.",
        "",
    ].join("\n");
}
