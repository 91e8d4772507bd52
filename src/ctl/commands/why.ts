/**
 * @module
 * `reedwardctl why`: why a request went where it went.
 */
import type { RequestReport } from "../../core/why/createReportRing.js";
import { explainRequest, type TimeLineEntry } from "../../core/why/explainRequest.js";
import { formatTable } from "../_lib/formatTable.js";
import { readFleet } from "../_lib/readFleet.js";
import { readLogs } from "../_lib/readLogs.js";
import type { CommandResult, Invocation } from "../commandTypes.js";
import { exitCodes } from "../exitCodes.js";

interface Finding {
    readonly instance: string;
    readonly report: RequestReport;
}

/** The asked instance first; then all members, of which only the one that served the request knows it. */
async function findReport(requestId: string, invocation: Invocation): Promise<Finding | undefined> {
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

function formatReport({ instance, report }: Finding): readonly string[] {
    const head = ["UPSTREAM", "CACHED BLOCKS", "WAIT MS", "PREFILL MS", "COST"];
    const attempts = report.attempts.flatMap((attempt, index) => [
        `attempt ${index + 1}: ${attempt.upstream}, ${attempt.cachedBlocks} blocks believed cached, ${attempt.result}`,
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

/** Needs no instance, so that a request can be explained on a site whose instances take no operator's calls. */
async function explainFromLogs(requestId: string, files: readonly string[]): Promise<CommandResult> {
    const { lines, skipped } = await readLogs(files, requestId);
    const timeLine = explainRequest(lines, requestId);
    if (timeLine.length === 0) {
        const passedOver = skipped === 0 ? "" : `; ${skipped} lines there are no events of reedward`;
        return reportNotFound(`no line in ${files.join(", ")} names request ${requestId}${passedOver}`);
    }
    const json = { outcome: "done", requestId, skipped, timeLine };
    return { exitCode: exitCodes.done, json, lines: timeLine.map(formatEntry) };
}

/**
 * Explains a request.
 *
 * @param invocation - The invocation; its operand is the request id that the answer carried.
 * @returns The time line by the log files that were given; else the report of the instance that served it.
 */
export async function why(invocation: Invocation): Promise<CommandResult> {
    const requestId = invocation.operands[0]!;
    if (invocation.flags.logs.length > 0) {
        return await explainFromLogs(requestId, invocation.flags.logs);
    }
    const found = await findReport(requestId, invocation);
    if (found === undefined) {
        return reportNotFound(`no instance remembers request ${requestId}`);
    }
    return { exitCode: exitCodes.done, json: { outcome: "done", ...found }, lines: formatReport(found) };
}
