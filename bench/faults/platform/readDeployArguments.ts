/**
 * @module
 * The command of the deploy file, for the bundle that the build makes.
 */
import { readFileSync } from "node:fs";

/** Path of the bundle of the build; the deploy file's own is left alone, since runs of it load it from there. */
export const bundledProgram = "dist/deploy/reedward.cjs";

/**
 * Reads the arguments with which the deploy file runs Node.js.
 *
 * @returns The arguments, without the program.
 */
export function readDeployArguments(): readonly string[] {
    const text = readFileSync("deploy/system.toml", "utf8");
    const stated = /^run = "node (?<words>.*) target\/reedward\.cjs"$/m.exec(text)?.groups?.["words"];
    if (stated === undefined) {
        throw new Error("deploy/system.toml runs another program");
    }
    return stated.split(" ");
}
