/**
 * @module
 * `npm run bench -- slopes`: measures each role's cost over a range of sizes, fits a line, and carries it to the two-year size.
 */
import { fitLine, type Line } from "../_lib/fitLine.js";
import type { SlopeCase } from "./slopeCase.js";
import { slopeCases } from "./slopeCases.js";

interface SlopeResult {
    readonly one: SlopeCase;
    readonly line: Line;
    /** Cost of one call, state or message at the two-year size. */
    readonly atTwoYears: number;
}

/** Control budget of a daemon: share of a core, bytes of memory, bytes a second. */
const controlBudget = { cpuShare: 0.011, memoryBytes: 32 << 20, wireBytesPerSecond: 13_000 } as const;

const units = { cpuMicroseconds: "us", memoryBytes: "B", wireBytes: "B" } as const;

/** Least share of the variance from which the line is carried beyond its range. */
const leastFit = 0.9;

/** A cost that does not follow the size is taken at its largest measured value. */
function measureCase(one: SlopeCase): SlopeResult {
    const points = one.sizes.map(size => ({ size, value: one.measure(size) }));
    const line = fitLine(points);
    const largest = Math.max(...points.map(point => point.value));
    const atTwoYears = line.fit >= leastFit ? line.base + line.slope * one.twoYearSize : largest;
    return { one, line, atTwoYears: Math.max(0, atTwoYears) };
}

function formatTotal({ one, atTwoYears }: SlopeResult): string {
    const total = atTwoYears * one.twoYearRate;
    switch (one.quantity) {
        case "cpuMicroseconds":
            return `${(total / 10_000).toFixed(4)} % of a core`;
        case "memoryBytes":
            return `${(total / 2 ** 20).toFixed(3)} MB`;
        case "wireBytes":
            return `${total.toFixed(0)} B/s`;
    }
}

function formatRow(result: SlopeResult): string {
    const { one, line, atTwoYears } = result;
    const unit = units[one.quantity];
    return [
        "",
        one.role,
        one.subject,
        `${line.slope.toPrecision(3)} ${unit} a ${one.sizeName}`,
        `${line.from} to ${line.to}`,
        line.fit.toFixed(2),
        `${atTwoYears.toPrecision(3)} ${unit} at ${Math.round(one.twoYearSize)}`,
        one.twoYearRate.toPrecision(3),
        formatTotal(result),
        one.isControl ? "control" : "requests",
        "",
    ].join(" | ").trim();
}

function sumControl(results: readonly SlopeResult[], quantity: SlopeCase["quantity"]): number {
    return results.filter(({ one }) => one.isControl && one.quantity === quantity)
        .reduce((sum, { one, atTwoYears }) => sum + atTwoYears * one.twoYearRate, 0);
}

/**
 * Runs the measurement.
 *
 * @returns Nothing; prints a Markdown table and one JSON object.
 */
export function runSlopes(): void {
    const results = slopeCases.map(measureCase);
    const header = [
        "role",
        "subject",
        "slope",
        "range",
        "fit",
        "two-year size",
        "a second",
        "total of a daemon",
        "budget",
    ];
    process.stdout.write(`| ${header.join(" | ")} |\n|${" --- |".repeat(header.length)}\n`);
    results.forEach(result => process.stdout.write(`${formatRow(result)}\n`));
    const cpuShare = sumControl(results, "cpuMicroseconds") / 1e6;
    const memoryBytes = sumControl(results, "memoryBytes");
    const wireBytesPerSecond = sumControl(results, "wireBytes");
    process.stdout.write(
        `\ncontrol: ${(cpuShare * 100).toFixed(3)} % of a core of ${controlBudget.cpuShare * 100} %, `,
    );
    process.stdout.write(
        `${(memoryBytes / 2 ** 20).toFixed(2)} MB of 32 MB, ${wireBytesPerSecond.toFixed(0)} B/s of 13000 B/s\n`,
    );
    const cases = results.map(({ one, line, atTwoYears }) => ({
        role: one.role,
        subject: one.subject,
        quantity: one.quantity,
        slope: line.slope,
        base: line.base,
        fit: line.fit,
        atTwoYears,
    }));
    process.stdout.write(`${JSON.stringify({ control: { cpuShare, memoryBytes, wireBytesPerSecond }, cases })}\n`);
}
