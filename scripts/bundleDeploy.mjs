// Bundles the platform's entry point into one file, so that a restarting instance loads one module instead of 300.
import { build } from "esbuild";

await build({
    entryPoints: ["platform/main.ts"],
    outfile: "target/reedward.mjs",
    bundle: true,
    platform: "node",
    target: "node20",
    format: "esm",
    // CommonJS dependencies load Node.js built-in modules with `require`, which ES modules do not define.
    banner: { js: "import { createRequire } from \"node:module\"; const require = createRequire(import.meta.url);" },
    logLevel: "warning",
});
