/**
 * @module
 * The side of a worker process: starts its part when the run tells it to, and reports what it recorded.
 */
import type { EngineTrouble } from "./troubleTypes.js";
import { watchEventLoop } from "./watchEventLoop.js";
import type { ReplacedUpstream, WorkerOrder, WorkerReport } from "./workerMessages.js";

/** A worker's part of a run. */
export interface WorkerPart<Started, Recorded> {
    readonly started: Started;
    readonly disturb?: (trouble: EngineTrouble) => void;
    /** Ends the part and returns what it recorded. */
    readonly stop: () => Promise<Recorded>;
}

/** Serves the run that forked this process, which ends when the run disconnects. */
export function serveWorker<Options, Started, Recorded>(
    startPart: (
        options: Options,
        reportReplaced: (upstream: ReplacedUpstream) => void,
    ) => Promise<WorkerPart<Started, Recorded>>,
): void {
    const readMaxLagMs = watchEventLoop();
    let part: WorkerPart<Started, Recorded> | undefined;

    function report(message: WorkerReport<Started, Recorded>): void {
        process.send?.(message);
    }

    async function obey(order: WorkerOrder<Options>): Promise<void> {
        if (order.type === "start") {
            part = await startPart(order.options, upstream => report({ type: "replaced", upstream }));
            report({ type: "started", started: part.started });
        }
        else if (order.type === "disturb") {
            part?.disturb?.(order.trouble);
        }
        else if (part !== undefined) {
            const recorded = await part.stop();
            report({ type: "stopped", recorded, maxLagMs: readMaxLagMs() });
        }
    }

    process.on("message", (order: WorkerOrder<Options>) => void obey(order));
    process.on("disconnect", () => process.exit(0));
}
