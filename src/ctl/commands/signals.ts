/**
 * @module
 * `reedwardctl signals`: what upstreams have stated in their answers about the requests that they want.
 */
import { millisecondsPerSecond } from "../../core/constants.js";
import { type ListedSignal, readSignals } from "../../io/peers/readSignals.js";
import { formatTable } from "../_lib/formatTable.js";
import type { CommandResult, Invocation } from "../commandTypes.js";
import { exitCodes } from "../exitCodes.js";

const toSeconds = (durationMs: number) => `${(durationMs / millisecondsPerSecond).toFixed(1)} s`;

function describeStatement({ report, ratePerSecond }: ListedSignal): string {
    switch (report.kind) {
        case "rateLimit":
            return report.requestsPerSecond === undefined
                ? `limit ended${ratePerSecond === undefined ? "" : `, ${ratePerSecond.toFixed(1)}/s while it recovers`}`
                : `${report.requestsPerSecond}/s`;
        case "leaving":
            return "leaves";
        case "retryAfter":
            return `no request for ${toSeconds(report.remainingMs)}`;
    }
}

function toRow(signal: ListedSignal): readonly string[] {
    const { upstream, source, receivedAgeMs } = signal.report;
    return [upstream, describeStatement(signal), toSeconds(receivedAgeMs), source, signal.owner ?? "-"];
}

/**
 * Lists what an instance knows, from its own answers or from other instances.
 *
 * @param invocation - The invocation.
 * @returns A row for each statement.
 */
export async function signals(invocation: Invocation): Promise<CommandResult> {
    const listed = await readSignals(invocation.address);
    const head = ["UPSTREAM", "STATED", "AGE", "TOLD TO", "PERMITS FROM"];
    return {
        exitCode: exitCodes.done,
        json: { outcome: "done", signals: listed },
        lines: listed.length === 0 ? ["no upstream has stated anything"] : formatTable(head, listed.map(toRow)),
    };
}
