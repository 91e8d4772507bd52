/**
 * @module
 * The run's side of a worker process.
 */
import { type ChildProcess, fork } from "node:child_process";
import { fileURLToPath } from "node:url";
import type { EngineTrouble } from "./troubleTypes.js";
import type { ReplacedUpstream, WorkerOrder, WorkerReport } from "./workerMessages.js";

/** A worker process that has started its part. */
export interface Worker<Started, Recorded> {
    readonly started: Started;
    readonly disturb: (trouble: EngineTrouble) => void;
    /** Calls a function for each upstream that comes back under a new id. */
    readonly onReplaced: (listener: (upstream: ReplacedUpstream) => void) => void;
    /** Ends the part and resolves to what the worker recorded. */
    readonly stop: () => Promise<{ readonly recorded: Recorded; readonly maxLagMs: number; }>;
    readonly kill: () => void;
}

type ReportOf<Report, Type> = Extract<Report, { readonly type: Type; }>;

function waitFor<Report extends { readonly type: string; }, Type extends Report["type"]>(
    child: ChildProcess,
    type: Type,
): Promise<ReportOf<Report, Type>> {
    return new Promise((resolve, reject) => {
        const onDisconnect = () => reject(new Error(`a worker ended before it was ${type}`));
        const onMessage = (message: unknown) => {
            const report = message as Report;
            if (report.type === type) {
                child.off("message", onMessage);
                child.off("disconnect", onDisconnect);
                resolve(report as ReportOf<Report, Type>);
            }
        };
        child.on("message", onMessage);
        child.on("disconnect", onDisconnect);
    });
}

/**
 * Forks a worker and starts its part.
 *
 * @param program - Name of the worker's program, beside this one.
 * @param options - What the part is started with.
 * @returns The worker.
 */
export async function forkWorker<Options, Started, Recorded>(
    program: string,
    options: Options,
): Promise<Worker<Started, Recorded>> {
    type Report = WorkerReport<Started, Recorded>;
    // The structured clone keeps undefined fields.
    const child = fork(fileURLToPath(new URL(program, import.meta.url)), { serialization: "advanced" });
    const order = (message: WorkerOrder<Options>) => child.send(message);
    const starting = waitFor<Report, "started">(child, "started");
    order({ type: "start", options });
    const { started } = await starting;
    return {
        started,
        disturb: trouble => order({ type: "disturb", trouble }),
        onReplaced: listener => {
            child.on("message", message => {
                const report = message as Report;
                if (report.type === "replaced") {
                    listener(report.upstream);
                }
            });
        },
        stop: async () => {
            const stopping = waitFor<Report, "stopped">(child, "stopped");
            order({ type: "stop" });
            return stopping;
        },
        kill: () => child.kill("SIGKILL"),
    };
}
