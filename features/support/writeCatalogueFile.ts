/**
 * @module
 * Writes a temporary catalogue file that is removed after the scenario.
 */
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import type { SiteWorld } from "./siteWorld.js";

/** Writes the file and returns its path. */
export function writeCatalogueFile(world: SiteWorld, content: string): string {
    const folder = mkdtempSync(join(tmpdir(), "reedward-"));
    world.cleanups.push(() => rmSync(folder, { recursive: true }));
    const file = join(folder, "catalogue.json");
    writeFileSync(file, content);
    return file;
}
