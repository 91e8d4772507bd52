/**
 * @module
 * Settings of the daemon.
 */
export * from "./formatHelp.js";
export * from "./formatSettingsReference.js";
export * from "./readSettings.js";
export * from "./settingsTable.js";
