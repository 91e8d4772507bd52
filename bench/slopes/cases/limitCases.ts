/**
 * @module
 * Costs of customers' limits.
 */
import { createVirtualClock } from "../../../fakes/createVirtualClock.js";
import type { Customer } from "../../../src/core/catalogue/catalogueEntry.js";
import { createLimits, type Limits } from "../../../src/core/limits/createLimits.js";
import { measureBytes, measureCpuMicroseconds } from "../../_lib/measureCost.js";
import { requestsPerDaemon, type SlopeCase, twoYears } from "../slopeCase.js";

const customerCounts = [8, 60, 220] as const;
const deadlineMs = 1e9;

function createCustomer(index: number): Customer {
    const limits = {
        requestsPerSecond: 1e9,
        promptTokensPerSecond: 1e12,
        outputTokensPerSecond: 1e12,
        requestsInFlight: 1_000,
        burstSeconds: 2,
    };
    const id = `customer-${index}`;
    return { kind: "customer", id, owner: id, classOfService: "standard", limits, credentialSha256: "0".repeat(64) };
}

interface LoadedLimits {
    readonly limits: Limits;
    readonly customers: readonly Customer[];
}

function createLoadedLimits(count: number): LoadedLimits {
    const clock = createVirtualClock(1);
    const customers = Array.from({ length: count }, (_, index) => createCustomer(index));
    const byId = new Map(customers.map(customer => [customer.id, customer.limits]));
    const limits = createLimits({
        clock,
        instance: "entry-1",
        incarnation: "1",
        findLimits: customer => byId.get(customer),
        countAlive: () => 1,
        countSlots: () => 1_000,
        preset: () => "lectura",
        random: clock.random,
        sendBorrowRequest: () => undefined,
        isAlive: () => true,
        rankStandbys: () => [],
        listAssignedCustomers: () => [],
        isLogReachable: () => true,
        appendRecord: (_, onSettled) => onSettled("folded"),
        queryStandby: () => undefined,
    });
    customers.forEach((customer, index) => admit(limits, customer, `first-${index}`));
    return { limits, customers };
}

function admit(limits: Limits, customer: Customer, requestId: string): void {
    const cost = { promptTokens: 100, outputTokens: 100 };
    limits.admission.admit({ requestId, customer, cost, deadlineMs }, () => undefined);
    limits.admission.complete(requestId, cost);
    limits.admission.cancel(requestId);
}

function measureAdmission(count: number): number {
    const { limits, customers } = createLoadedLimits(count);
    let index = 0;
    return measureCpuMicroseconds(() => {
        index += 1;
        admit(limits, customers[index % customers.length]!, `request-${index}`);
    });
}

const copies = 25;

/** Costs of limits. */
export const limitCases: readonly SlopeCase[] = [
    {
        role: "limits",
        subject: "admitting or refusing a request, and settling it",
        quantity: "cpuMicroseconds",
        sizeName: "customer",
        sizes: customerCounts,
        measure: measureAdmission,
        twoYearSize: twoYears.customers,
        twoYearRate: requestsPerDaemon,
        isControl: false,
        mechanism: "one quota per customer; a queue that is fair by tokens",
    },
    {
        role: "limits",
        subject: "accounts in memory",
        quantity: "memoryBytes",
        sizeName: "customer",
        sizes: customerCounts,
        measure: count => measureBytes(() => createLoadedLimits(count), copies),
        twoYearSize: twoYears.customers,
        twoYearRate: 1,
        isControl: true,
        mechanism: "state only for customers that the instance serves",
    },
];
