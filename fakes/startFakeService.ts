/**
 * @module
 * Stand-in for a plain service; it records every run by the key that it is given.
 */
import { type HttpFake, startHttpFake, writeJson } from "./_lib/startHttpFake.js";

/** How the next calls fail: not accepted, answered never, or run with the answer lost. */
export type ServiceFault = "refuse" | "hang" | "loseAnswer";

/** The stand-in with its record and fault switch. */
export interface FakeService extends HttpFake {
    /** Runs by "METHOD path key". */
    readonly runs: ReadonlyMap<string, number>;
    readonly setFault: (fault: ServiceFault | undefined) => void;
}

/** Starts the stand-in; `onRun` receives the path and body of every call that it acts on. */
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
