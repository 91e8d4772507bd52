#!/usr/bin/env node
/**
 * @module
 * Entry point of the daemon process.
 */
import { readFileSync } from "node:fs";
import { formatHelp } from "./settings/formatHelp.js";
import { readSettings } from "./settings/readSettings.js";
import { createDaemon } from "./wire.js";

/** Exit code for invalid settings. */
const settingsExitCode = 2;

function readVersion(): string {
    const text = readFileSync(new URL("../../package.json", import.meta.url), "utf8");
    return (JSON.parse(text) as { readonly version: string; }).version;
}

async function main(): Promise<void> {
    const read = readSettings(process.argv.slice(2), process.env);
    if (read.isErr) {
        for (const problem of read.error) {
            process.stderr.write(`reedward: ${problem.setting}: ${problem.expected}\n`);
        }
        process.exitCode = settingsExitCode;
        return;
    }
    const { action, settings } = read.value;
    if (action === "help") {
        process.stdout.write(formatHelp());
        return;
    }
    if (action === "version") {
        process.stdout.write(`${readVersion()}\n`);
        return;
    }
    if (action === "checkSettings") {
        process.stdout.write("reedward: settings are valid\n");
        return;
    }
    const daemon = createDaemon(settings);
    let isStopping = false;
    const stop = () => {
        if (!isStopping) {
            isStopping = true;
            void daemon.drain().then(() => process.exit(0));
        }
    };
    process.on("SIGTERM", stop);
    process.on("SIGINT", stop);
    await daemon.start();
}

main().catch((err: unknown) => {
    process.stderr.write(`reedward: ${err instanceof Error ? err.message : String(err)}\n`);
    process.exit(1);
});
