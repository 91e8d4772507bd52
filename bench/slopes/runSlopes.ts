/**
 * @module
 * `npm run bench -- slopes`: measures the costs of each role over a range of sizes, fits a line to each cost, and
 * extrapolates it to the two-year size.
 */
import { fitLine, type Line } from "../_lib/fitLine.js";
import type { SlopeCase } from "./slopeCase.js";
import { slopeCases } from "./slopeCases.js";

interface SlopeResult {
    readonly slopeCase: SlopeCase;
    readonly line: Line;
    /** Cost of one call, state or message at the two-year size. */
    readonly atTwoYears: number;
}

/** Budget of a daemon's control plane: share of a core, bytes of memory, bytes per second on the wire. */
const controlBudget = { cpuShare: 0.011, memoryBytes: 32 << 20, wireBytesPerSecond: 13_000 } as const;

const units = { cpuMicroseconds: "us", memoryBytes: "B", wireBytes: "B" } as const;

/** Minimum coefficient of determination at which the line is extrapolated beyond the measured range. */
const minFit = 0.9;

/** Extrapolates the cost, or uses its largest measured value when it does not grow linearly with the size. */
function measureCase(slopeCase: SlopeCase): SlopeResult {
    const points = slopeCase.sizes.map(size => ({ size, value: slopeCase.measure(size) }));
    const line = fitLine(points);
    const largest = Math.max(...points.map(point => point.value));
    const atTwoYears = line.fit >= minFit ? line.base + line.slope * slopeCase.twoYearSize : largest;
    return { slopeCase, line, atTwoYears: Math.max(0, atTwoYears) };
}

function formatTotal({ slopeCase, atTwoYears }: SlopeResult): string {
    const total = atTwoYears * slopeCase.twoYearRate;
    switch (slopeCase.quantity) {
        case "cpuMicroseconds":
            return `${(total / 10_000).toFixed(4)} % of a core`;
        case "memoryBytes":
            return `${(total / 2 ** 20).toFixed(3)} MB`;
        case "wireBytes":
            return `${total.toFixed(0)} B/s`;
    }
}

function formatRow(result: SlopeResult): string {
    const { slopeCase, line, atTwoYears } = result;
    const unit = units[slopeCase.quantity];
    return [
        "",
        slopeCase.role,
        slopeCase.subject,
        `${line.slope.toPrecision(3)} ${unit} a ${slopeCase.sizeName}`,
        `${line.from} to ${line.to}`,
        line.fit.toFixed(2),
        `${atTwoYears.toPrecision(3)} ${unit} at ${Math.round(slopeCase.twoYearSize)}`,
        slopeCase.twoYearRate.toPrecision(3),
        formatTotal(result),
        slopeCase.isControl ? "control" : "requests",
        "",
    ].join(" | ").trim();
}

function sumControl(results: readonly SlopeResult[], quantity: SlopeCase["quantity"]): number {
    return results.filter(({ slopeCase }) => slopeCase.isControl && slopeCase.quantity === quantity)
        .reduce((sum, { slopeCase, atTwoYears }) => sum + atTwoYears * slopeCase.twoYearRate, 0);
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
    const cases = results.map(({ slopeCase, line, atTwoYears }) => ({
        role: slopeCase.role,
        subject: slopeCase.subject,
        quantity: slopeCase.quantity,
        slope: line.slope,
        base: line.base,
        fit: line.fit,
        atTwoYears,
    }));
    process.stdout.write(`${JSON.stringify({ control: { cpuShare, memoryBytes, wireBytesPerSecond }, cases })}\n`);
}
