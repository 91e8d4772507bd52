// Installs the locked packages when node_modules is missing.
import { spawnSync } from "node:child_process";
import { existsSync } from "node:fs";

if (!existsSync("node_modules/.package-lock.json")) {
    const run = spawnSync("npm", ["ci", "--no-audit", "--no-fund"], { stdio: ["ignore", "ignore", "inherit"] });
    process.exit(run.status ?? 1);
}
