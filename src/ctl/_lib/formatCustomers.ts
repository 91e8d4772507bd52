/**
 * @module
 * Formats the customers' use of their limits as text.
 */
import type { CustomerUseReport } from "../../io/limits/readCustomerUse.js";
import { formatTable } from "./formatTable.js";

function formatUse(used: number, limit: number): string {
    return `${Math.round(used * 10) / 10}/${limit}`;
}

/**
 * Formats a line for each customer, with use and limit in each cell.
 *
 * @param report - The use across the fleet.
 * @returns The lines.
 */
export function formatCustomers(report: CustomerUseReport): readonly string[] {
    const head = ["CUSTOMER", "OWNER", "CLASS", "REQUESTS/S", "PROMPT TOKENS/S", "OUTPUT TOKENS/S", "IN FLIGHT"];
    const rows = report.customers.map(({ customer, owner, classOfService, limits, admittedPerSecond, inFlight }) => [
        customer,
        owner,
        classOfService,
        formatUse(admittedPerSecond.requests, limits.requestsPerSecond),
        formatUse(admittedPerSecond.promptTokens, limits.promptTokensPerSecond),
        formatUse(admittedPerSecond.outputTokens, limits.outputTokensPerSecond),
        formatUse(inFlight, limits.requestsInFlight),
    ]);
    const missing = report.unanswered.length === 0 ? [] : [`without answer: ${report.unanswered.join(", ")}`];
    return [...formatTable(head, rows), ...missing];
}
