#!/usr/bin/env node
/**
 * @module
 * Entry point of reedwardctl, the command-line tool for operators.
 */
import { runCommand } from "./ctl/runCommand.js";

process.exitCode = await runCommand(process.argv.slice(2), process.env, {
    writeOut: text => process.stdout.write(text),
    writeError: text => process.stderr.write(text),
});
process.exit();
