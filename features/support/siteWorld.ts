/**
 * @module
 * The world of scenarios that run against a site on loopback.
 */
import { After, setDefaultTimeout, setWorldConstructor, World } from "@cucumber/cucumber";
import type { Site } from "../../demo/startSite.js";

/** Time limit of a step, in milliseconds; a step that hangs fails the run. */
const stepTimeoutMs = 120_000;

/** An answer as a scenario saw it. */
export interface SeenAnswer {
    readonly status: number;
    readonly text: string;
    readonly headers: Headers | undefined;
}

/** State of one scenario. */
export class SiteWorld extends World {
    site: Site | undefined;
    answer: SeenAnswer | undefined;
    /** Run before the site is stopped. */
    readonly cleanups: (() => Promise<void> | void)[] = [];
}

setDefaultTimeout(stepTimeoutMs);
setWorldConstructor(SiteWorld);

After(async function(this: SiteWorld) {
    for (const cleanup of this.cleanups) {
        await cleanup();
    }
    await this.site?.stop();
});
