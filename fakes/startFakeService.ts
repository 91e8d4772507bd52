/**
 * @module
 * Fake plain service that counts runs by method, path and idempotency key.
 */
import { type HttpFake, startHttpFake, writeJson } from "./_lib/startHttpFake.js";

/** How calls fail: refused as not run, never answered, or run with the response lost. */
export type ServiceFault = "refuse" | "hang" | "loseAnswer";

/** The running fake with its run counts and fault switch. */
export interface FakeService extends HttpFake {
    /** Number of runs by "METHOD path key". */
    readonly runs: ReadonlyMap<string, number>;
    readonly setFault: (fault: ServiceFault | undefined) => void;
}

/** Starts the fake service; `onRun` receives the path and body of every call that it runs. */
export async function startFakeService(
    port = 0,
    onRun: (path: string, body: string) => void = () => undefined,
): Promise<FakeService> {
    const runs = new Map<string, number>();
    let fault: ServiceFault | undefined;
    const fake = await startHttpFake((req, body, res) => {
        res.setHeader("x-correlation-id", String(req.headers["x-correlation-id"] ?? ""));
        if (fault === "refuse") {
            res.setHeader("x-not-run", "true");
            writeJson(res, 503, { error: "busy" });
            return;
        }
        const run = `${req.method} ${req.url} ${req.headers["idempotency-key"] ?? ""}`;
        runs.set(run, (runs.get(run) ?? 0) + 1);
        onRun(req.url ?? "", body);
        if (fault === "loseAnswer") {
            res.destroy();
        }
        else if (fault !== "hang") {
            writeJson(res, 200, { run, total: runs.get(run), echo: body });
        }
    }, port);
    return {
        ...fake,
        runs,
        setFault: value => {
            fault = value;
        },
    };
}
