/**
 * @module
 * Plays forms of endless answers over one process each:
 * `node dist/bench/faults/platform/runEndless.js [--form NAME|all] [--source upstream|store|peers] [--seed N] [--rounds N] [--chunks SIZE] [--segments SIZE]
 * [--port N] [--program PATH]`. Sizes that are left out are drawn for each answer. Prints one JSON object a form; the exit code
 * is 1 when a process ended, held more than it may, or did not answer a request to the sound upstream.
 */
import { parseArgs } from "node:util";
import { type PieceSize, pieceSizes } from "../../../fakes/cutPieces.js";
import { endlessForms, findEndlessForm } from "../../../fakes/endlessForms.js";
import { type EndlessFindings, endlessSources, playEndless } from "./playEndless.js";
import { bundledProgram } from "./readDeployArguments.js";

const { values } = parseArgs({
    options: {
        source: { type: "string", default: "upstream" },
        form: { type: "string", default: "all" },
        seed: { type: "string", default: "1" },
        rounds: { type: "string", default: "3" },
        chunks: { type: "string" },
        segments: { type: "string" },
        port: { type: "string", default: "24000" },
        program: { type: "string", default: bundledProgram },
    },
});

/** Memory that a process may hold, in megabytes. */
const maxMemoryMb = 200;

function parseSize(text: string | undefined): PieceSize | undefined {
    const size = pieceSizes.find(candidate => candidate === text);
    if (text !== undefined && size === undefined) {
        throw new Error(`unknown size; sizes: ${pieceSizes.join(", ")}`);
    }
    return size;
}

function isSound({ end, peakMb, sound }: EndlessFindings): boolean {
    return end === "lives" && peakMb <= maxMemoryMb && Object.keys(sound).every(result => result === "sound 200");
}

const source = endlessSources.find(candidate => candidate === values.source);
if (source === undefined) {
    throw new Error(`unknown source; sources: ${endlessSources.join(", ")}`);
}
const chunks = parseSize(values.chunks);
const segments = parseSize(values.segments);
const defaultSize: PieceSize = "mixed";
const cut = chunks === undefined && segments === undefined
    ? undefined
    : { chunks: chunks ?? defaultSize, segments: segments ?? defaultSize };
let isClean = true;
for (const form of values.form === "all" ? endlessForms : [findEndlessForm(values.form)]) {
    const findings = await playEndless({
        form,
        source,
        seed: Number(values.seed),
        rounds: Number(values.rounds),
        firstPort: Number(values.port),
        program: values.program,
        cut,
    });
    isClean &&= isSound(findings);
    process.stdout.write(`${JSON.stringify(findings)}\n`);
}
process.exit(isClean ? 0 : 1);
