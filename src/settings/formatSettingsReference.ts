/**
 * @module
 * The settings reference for operators, generated from the table of settings.
 */
import { toVariable } from "./readSettings.js";
import { type SettingDefinition, settingsTable } from "./settingsTable.js";

function formatRow(definition: SettingDefinition): string {
    const fallback = definition.isRequired ? "required" : definition.fallback || "none";
    const secrecy = definition.isSecret ? " Secret: set it through the variable." : "";
    return `| \`--${definition.flag}\` | \`${
        toVariable(definition.flag)
    }\` | ${fallback} | ${definition.description}${secrecy} |`;
}

/**
 * Formats docs/operating/settings.md.
 *
 * @returns The page.
 */
export function formatSettingsReference(): string {
    return [
        "# Settings of reedward",
        "",
        "This page is generated from the table of settings by `npm run settings-reference`.",
        "Each setting is a flag or an environment variable; the flag takes precedence. An invalid setting is named with",
        "what was expected, and the daemon exits with code 2. `reedward --check-settings` checks without starting.",
        "",
        "| flag | variable | default | meaning |",
        "| --- | --- | --- | --- |",
        ...Object.values(settingsTable).map(formatRow),
        "",
    ].join("\n");
}
