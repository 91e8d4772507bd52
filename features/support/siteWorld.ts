/**
 * @module
 * Cucumber's World for scenarios that run against a site on loopback.
 */
import { After, setDefaultTimeout, setWorldConstructor, World } from "@cucumber/cucumber";
import type { Site } from "../../demo/startSite.js";

/** Timeout of a step; a step that does not end in time fails the run. */
const stepTimeoutMs = 120_000;

/** An answer that a scenario received. */
export interface ReceivedAnswer {
    readonly status: number;
    readonly text: string;
    readonly headers: Headers | undefined;
}

/** State of one scenario. */
export class SiteWorld extends World {
    site: Site | undefined;
    answer: ReceivedAnswer | undefined;
    /** Called in order before the site is stopped. */
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
