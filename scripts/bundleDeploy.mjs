// Bundles the platform's entry point, so that a restarting instance loads two modules instead of 300: a small one that
// receives signals, and the rest. Libraries of which it uses a small part are replaced by that part: loading is the largest
// cost of a start. The argument is the folder of the bundle; without one it is that of the deploy file.
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

/** Leaves the module that starts the instance out of the entry point's bundle. */
const laterModule = {
    name: "laterModule",
    setup: bundler =>
        bundler.onResolve({ filter: /\/startInstance\.js$/ }, () => ({ path: "./startInstance.mjs", external: true })),
};

const options = {
    outdir: process.argv[2] ?? "target",
    bundle: true,
    platform: "node",
    target: "node20",
    // Names stay readable in stack traces.
    minifyWhitespace: true,
    minifySyntax: true,
    logLevel: "warning",
};

// Node.js runs a CommonJS entry point sooner than an ES module, so signals are received sooner.
await build({
    ...options,
    entryPoints: { reedward: "platform/main.ts" },
    outExtension: { ".js": ".cjs" },
    plugins: [laterModule],
    format: "cjs",
});
await build({
    ...options,
    entryPoints: { startInstance: "platform/startInstance.ts" },
    outExtension: { ".js": ".mjs" },
    plugins: [usedParts],
    format: "esm",
    // CommonJS dependencies load Node.js built-in modules with `require`, which ES modules do not define.
    banner: { js: "import { createRequire } from \"node:module\"; const require = createRequire(import.meta.url);" },
});
