/**
 * @module
 * `reedwardctl why`: explains how a request was routed.
 */
import type { RequestReport } from "../../core/why/createReportBuffer.js";
import { explainRequest, type TimeLineEntry } from "../../core/why/explainRequest.js";
import { formatTable } from "../_lib/formatTable.js";
import { readFleet } from "../_lib/readFleet.js";
import { readLogs } from "../_lib/readLogs.js";
import type { CommandResult, Invocation } from "../commandTypes.js";
import { exitCodes } from "../exitCodes.js";

interface FoundReport {
    readonly instance: string;
    readonly report: RequestReport;
}

/** Queries the given instance first, then all members; only the instance that served the request has its report. */
async function findReport(requestId: string, invocation: Invocation): Promise<FoundReport | undefined> {
    const report = await invocation.client.operator.why.query(requestId);
    if (report !== undefined) {
        return { instance: (await invocation.client.operator.status.query()).instance, report };
    }
    const members = await readFleet(invocation);
    const answers = await Promise.all(
        members.filter(row => row.status !== undefined).map(async ({ instance, peerAddress }) => {
            const found = await invocation.connect(peerAddress).operator.why.query(requestId).catch(() => undefined);
            return found === undefined ? [] : [{ instance, report: found }];
        }),
    );
    return answers.flat()[0];
}

function formatReport({ instance, report }: FoundReport): readonly string[] {
    const head = ["UPSTREAM", "CACHED BLOCKS", "WAIT MS", "PREFILL MS", "COST"];
    const attempts = report.attempts.flatMap((attempt, index) => [
        `attempt ${index + 1}: ${attempt.upstream}, ${attempt.cachedBlocks} blocks likely cached, ${attempt.result}`,
        ...formatTable(
            head,
            attempt.candidates.map(one => [
                one.upstream,
                String(one.cachedBlocks),
                one.waitMs.toFixed(1),
                one.prefillMs.toFixed(1),
                one.cost.toFixed(2),
            ]),
        ).map(line => `    ${line}`),
    ]);
    return [
        `request ${report.requestId} of ${report.customer} for ${report.target} at ${instance}`,
        `${report.result} ${report.detail}`.trim(),
        `${Math.round(report.durationMs)} ms; prompt ${report.promptTokens} tokens, ${report.cachedTokens} cached; `
        + `output ${report.outputTokens}`,
        ...attempts,
    ];
}

function reportNotFound(line: string): CommandResult {
    return { exitCode: exitCodes.notFound, json: { outcome: "notFound", detail: line }, lines: [line] };
}

function formatEntry({ timeMs, afterMs, instance, code, sentence, isOwn }: TimeLineEntry): string {
    const time = new Date(timeMs).toISOString().slice("2026-12-03T".length, -1);
    return `${time} ${`+${afterMs} ms`.padStart(9)} ${code} ${instance}${isOwn ? "" : " (around it)"}: ${sentence}`;
}

/** Queries no instance, so that it also works on a site whose instances accept no operator calls. */
async function explainFromLogs(requestId: string, files: readonly string[]): Promise<CommandResult> {
    const { lines, skipped } = await readLogs(files, requestId);
    const timeLine = explainRequest(lines, requestId);
    if (timeLine.length === 0) {
        const skippedNote = skipped === 0 ? "" : `; ${skipped} lines are not log events of reedward`;
        return reportNotFound(`no line in ${files.join(", ")} names request ${requestId}${skippedNote}`);
    }
    const json = { outcome: "done", requestId, skipped, timeLine };
    return { exitCode: exitCodes.done, json, lines: timeLine.map(formatEntry) };
}

/**
 * Explains a request.
 *
 * @param invocation - The invocation; its operand is the request id of the response.
 * @returns The time line from the given log files, or without any the report of the instance that served the request.
 */
export async function why(invocation: Invocation): Promise<CommandResult> {
    const requestId = invocation.operands[0]!;
    if (invocation.flags.logs.length > 0) {
        return await explainFromLogs(requestId, invocation.flags.logs);
    }
    const found = await findReport(requestId, invocation);
    if (found === undefined) {
        return reportNotFound(`no instance has a report of request ${requestId}`);
    }
    return { exitCode: exitCodes.done, json: { outcome: "done", ...found }, lines: formatReport(found) };
}
