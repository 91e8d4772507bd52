// Bundles the entry point of the platform into one file: an instance that restarts reads one module in place of 300.
import { build } from "esbuild";

await build({
    entryPoints: ["platform/main.ts"],
    outfile: "target/reedward.mjs",
    bundle: true,
    platform: "node",
    target: "node20",
    format: "esm",
    // Dependencies in the older module format load Node.js's own modules by `require`.
    banner: { js: "import { createRequire } from \"node:module\"; const require = createRequire(import.meta.url);" },
    logLevel: "warning",
});
