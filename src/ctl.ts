#!/usr/bin/env node
/**
 * @module
 * The operators' command-line tool's entry point.
 */
import { runCommand } from "./ctl/runCommand.js";

process.exitCode = await runCommand(process.argv.slice(2), process.env, {
    writeOut: text => process.stdout.write(text),
    writeError: text => process.stderr.write(text),
});
process.exit();
