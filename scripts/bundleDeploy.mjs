// Bundles the platform's entry point, so that a restarting instance loads two modules instead of 300: a small one that
// receives signals, and the rest. Libraries of which it uses a small part are replaced by that part: loading is the largest
// cost of a start.
import { resolve } from "node:path";
import { build } from "esbuild";

const libraryParts = { "undici": "undiciParts.mjs", "prom-client": "promClientParts.mjs" };

const usedParts = {
    name: "usedParts",
    setup: bundler =>
        bundler.onResolve({ filter: /^(undici|prom-client)$/ }, ({ path }) => ({
            path: resolve("scripts/bundle", libraryParts[path]),
        })),
};

await build({
    entryPoints: { reedward: "platform/main.ts" },
    outdir: "target",
    outExtension: { ".js": ".mjs" },
    splitting: true,
    chunkNames: "[name]",
    bundle: true,
    platform: "node",
    target: "node20",
    format: "esm",
    // Names stay readable in stack traces.
    minifyWhitespace: true,
    minifySyntax: true,
    plugins: [usedParts],
    // CommonJS dependencies load Node.js built-in modules with `require`, which ES modules do not define.
    banner: { js: "import { createRequire } from \"node:module\"; const require = createRequire(import.meta.url);" },
    logLevel: "warning",
});
