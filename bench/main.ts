/**
 * @module
 * `npm run bench -- NAME [flags]`: runs one measurement by its name.
 */
import { benches } from "./benches.js";

const [name = "", ...args] = process.argv.slice(2);
const run = benches[name];
if (run === undefined) {
    process.stderr.write(`Usage: npm run bench -- NAME [flags]\nNames: ${Object.keys(benches).join(", ")}\n`);
    process.exitCode = 2;
}
else {
    await run(args);
}
