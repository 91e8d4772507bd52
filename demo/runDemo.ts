/**
 * @module
 * `npm run demo`: sends nested prompts of three customers through two daemons with an ordinary OpenAI client and
 * reads each stream to its end.
 */
import OpenAI from "openai";
import type { EntryList } from "../src/core/entries/rankEntries.js";
import { type Site, siteCustomers, startSite } from "./startSite.js";

interface DemoRow {
    readonly customer: string;
    readonly entry: string;
    readonly upstream: string;
    readonly promptTokens: number;
    readonly cachedTokens: number;
    readonly firstTokenMs: number;
    readonly outcome: string;
}

const documentTypes = ["eviction notice", "appointment letter"] as const;
const cases = 4;
const houseStyleSentences = 160;
const documentTypeSentences = 60;
const maxTokens = 24;

function createPrompt(customer: string, documentType: string, caseNumber: number): OpenAI.ChatCompletionMessageParam[] {
    const houseStyle = Array.from(
        { length: houseStyleSentences },
        (_, line) => `${customer}, rule ${line}: use short words.`,
    );
    const typeRules = Array.from(
        { length: documentTypeSentences },
        (_, line) => `${documentType}, rule ${line}: name the date.`,
    );
    return [
        { role: "system", content: houseStyle.join("\n") },
        { role: "system", content: typeRules.join("\n") },
        { role: "user", content: `Case ${caseNumber}: rewrite the letter.` },
    ];
}

async function readEntries(site: Site, customer: string): Promise<EntryList> {
    const address = site.daemons[0]!.callerAddress();
    const res = await fetch(`http://${address}/v1/entries?customer=${customer}&failureDomain=bilbao-b`);
    return await res.json() as EntryList;
}

async function sendRequest(site: Site, customer: string, documentType: string, caseNumber: number): Promise<DemoRow> {
    const list = await readEntries(site, customer);
    const entry = list.entries[caseNumber % list.entries.length]!;
    const client = new OpenAI({
        baseURL: `http://${entry.address}/v1`,
        apiKey: `${customer}:secret-${customer}`,
        maxRetries: 0,
    });
    const before = site.engines.map(engine => engine.runs.size);
    const startMs = performance.now();
    const { data: stream, response } = await client.chat.completions.create({
        model: "easy-read",
        messages: createPrompt(customer, documentType, caseNumber),
        max_tokens: maxTokens,
        stream: true,
    }).withResponse();
    let firstTokenMs = 0;
    let tokens = 0;
    for await (const chunk of stream) {
        firstTokenMs ||= performance.now() - startMs;
        tokens += chunk.choices[0]?.delta.content === undefined ? 0 : 1;
    }
    const engine = site.engines.findIndex((candidate, index) => candidate.runs.size > before[index]!);
    const characters = createPrompt(customer, documentType, caseNumber)
        .reduce((sum, message) => sum + String(message.content).length, 0);
    return {
        customer,
        entry: entry.instance,
        upstream: `engine-${engine + 1}`,
        promptTokens: Math.ceil(characters / 4),
        cachedTokens: Number(response.headers.get("x-cached-tokens")),
        firstTokenMs,
        outcome: tokens === maxTokens ? "complete" : `${tokens} of ${maxTokens} tokens`,
    };
}

function print(columns: readonly string[]): void {
    const widths = [12, 9, 10, 8, 8, 9, 12];
    process.stdout.write(`${columns.map((text, index) => text.padEnd(widths[index] ?? 10)).join("")}\n`);
}

async function callService(site: Site): Promise<string> {
    const address = site.daemons[1]!.callerAddress();
    const headers = { authorization: `${siteCustomers[0]}:secret-${siteCustomers[0]}` };
    const res = await fetch(`http://${address}/services/booking/seats?ferry=7`, { headers });
    await res.arrayBuffer();
    return res.status === 200 ? "answered" : `status ${res.status}`;
}

async function runRequests(site: Site): Promise<readonly DemoRow[]> {
    const rows: DemoRow[] = [];
    print(["customer", "entry", "upstream", "prompt", "cached", "TTFT ms", "outcome"]);
    for (let caseNumber = 0; caseNumber < cases; caseNumber += 1) {
        for (const customer of siteCustomers) {
            for (const documentType of documentTypes) {
                const row = await sendRequest(site, customer, documentType, caseNumber);
                rows.push(row);
                const figures = [row.promptTokens, row.cachedTokens, row.firstTokenMs.toFixed(1)].map(String);
                print([row.customer, row.entry, row.upstream, ...figures, row.outcome]);
            }
        }
    }
    return rows;
}

/** Prints the summary and returns the checks that failed. */
function summarize(rows: readonly DemoRow[], serviceOutcome: string, runs: number): readonly string[] {
    const prompt = rows.reduce((sum, row) => sum + row.promptTokens, 0);
    const cached = rows.reduce((sum, row) => sum + row.cachedTokens, 0);
    const times = rows.map(row => row.firstTokenMs).sort((left, right) => left - right);
    process.stdout.write("\n");
    print(["requests", "complete", "entries", "hits", "p50 ms", "max ms", "service"]);
    const complete = rows.filter(row => row.outcome === "complete").length;
    const entries = new Set(rows.map(row => row.entry)).size;
    const medianMs = times[Math.floor(times.length / 2)] ?? 0;
    const figures = [
        rows.length,
        complete,
        entries,
        (cached / prompt).toFixed(3),
        medianMs.toFixed(1),
        times.at(-1)?.toFixed(1),
    ];
    print([...figures.map(String), serviceOutcome]);
    const checks: readonly (readonly [string, boolean])[] = [
        ["every stream was complete", complete === rows.length],
        ["every request ran exactly once", runs === rows.length],
        ["requests went through two entries", entries === 2],
        ["prefixes were reused", cached > 0],
        ["the plain service answered", serviceOutcome === "answered"],
    ];
    return checks.filter(([, holds]) => !holds).map(([name]) => name);
}

async function main(): Promise<void> {
    const site = await startSite({ daemons: 2, engines: 3 });
    try {
        const rows = await runRequests(site);
        const serviceOutcome = await callService(site);
        const runs = site.engines.flatMap(engine => [...engine.runs.values()]).reduce((sum, count) => sum + count, 0);
        const failed = summarize(rows, serviceOutcome, runs);
        failed.forEach(name => process.stdout.write(`FAILED: ${name}\n`));
        process.exitCode = failed.length === 0 ? 0 : 1;
    }
    finally {
        await site.stop();
    }
}

await main();
