/**
 * @module
 * Fake of the platform's instance list, weight store and KV store.
 */
import type { ListedInstance } from "../src/core/ports/platformPort.js";
import { type HttpFake, startHttpFake, writeJson } from "./_lib/startHttpFake.js";

/** The running fake with setters for its contents. */
export interface FakePlatform extends HttpFake {
    readonly setInstances: (instances: readonly ListedInstance[]) => void;
    readonly setWeights: (model: string, versions: readonly string[]) => void;
}

/** Starts the fake platform: GET /instances, GET /weights/MODEL, POST /kv/count and /kv/keep. */
export async function startFakePlatform(port = 0): Promise<FakePlatform> {
    let instances: readonly ListedInstance[] = [];
    const weights = new Map<string, readonly string[]>();
    const storedKeys = new Set<string>();
    const fake = await startHttpFake((req, body, res) => {
        const [, kind, name] = (req.url ?? "/").split("/");
        if (kind === "instances") {
            writeJson(res, 200, { instances });
        }
        else if (kind === "weights") {
            writeJson(res, 200, { versions: weights.get(name ?? "") ?? [] });
        }
        else {
            const { cacheSalt, blocks } = JSON.parse(body) as { cacheSalt: string; blocks: string[]; };
            const keys = blocks.map(block => `${cacheSalt}/${block}`);
            keys.filter(() => name === "keep").forEach(key => storedKeys.add(key));
            const missing = keys.findIndex(key => !storedKeys.has(key));
            writeJson(res, 200, { count: missing === -1 ? keys.length : missing });
        }
    }, port);
    return {
        ...fake,
        setInstances: value => {
            instances = value;
        },
        setWeights: (model, versions) => {
            weights.set(model, versions);
        },
    };
}
