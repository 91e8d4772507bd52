/**
 * @module
 * Costs of claims on the idempotency keys of calls that must not be retried.
 */
import { type ClaimRecord } from "../../../src/core/claims/claimRecord.js";
import { createClaimLedger } from "../../../src/core/claims/createClaimLedger.js";
import { measureBytes, measureCpuMicroseconds } from "../../_lib/measureCost.js";
import { type SlopeCase, twoYears } from "../slopeCase.js";

/** Fraction of requests that must not be retried: an assumption. */
const nonIdempotentShare = 0.01;

/** Claims per second of the entire fleet in two years. */
const claimsPerSecond = twoYears.requestsPerSecond * nonIdempotentShare;

const answerBytes = 300;
const ledgerOptions = { maxClaims: 50_000, maxAnswerBytes: 8 << 20 } as const;
const claimCounts = [1_000, 5_000, 20_000] as const;
const body = Buffer.alloc(answerBytes, "x").toString("base64");

function createRecords(index: number): readonly ClaimRecord[] {
    const common = {
        key: `customer-1/1764794000000-booking-${index}`,
        claimId: `claim-${index}-0123456789`,
        atMs: 1_764_794_000_000,
    };
    return [
        { type: "claim", ...common, fingerprint: "0123456789abcdef", issuedMs: common.atMs },
        { type: "answered", ...common, status: 200, contentType: "application/json", body },
    ];
}

function createLedgerOf(count: number): ReturnType<typeof createClaimLedger> {
    const ledger = createClaimLedger(ledgerOptions);
    for (let index = 0; index < count; index += 1) {
        createRecords(index).forEach((record, part) => ledger.applyRecord(2 * index + part, JSON.stringify(record)));
    }
    return ledger;
}

function measureFolding(count: number): number {
    const ledger = createLedgerOf(count);
    let index = count;
    return measureCpuMicroseconds(() => {
        createRecords(index).forEach((record, part) => ledger.applyRecord(2 * index + part, JSON.stringify(record)));
        index += 1;
    });
}

/** Costs of claims. */
export const claimCases: readonly SlopeCase[] = [
    {
        role: "claims",
        subject: "folding a claim and its end",
        quantity: "cpuMicroseconds",
        sizeName: "held claim",
        sizes: claimCounts,
        measure: measureFolding,
        twoYearSize: ledgerOptions.maxClaims,
        twoYearRate: claimsPerSecond,
        isControl: true,
        mechanism: "every daemon folds every claim",
    },
    {
        role: "claims",
        subject: "claims and answers in memory",
        quantity: "memoryBytes",
        sizeName: "held claim",
        sizes: claimCounts,
        measure: count => measureBytes(() => createLedgerOf(count)),
        twoYearSize: ledgerOptions.maxClaims,
        twoYearRate: 1,
        isControl: true,
        mechanism: "bounded by count and by bytes of answers; the oldest are evicted first",
    },
    {
        role: "claims",
        subject: "a claim and its end read from the log",
        quantity: "wireBytes",
        sizeName: "claim",
        sizes: [1, 10, 100],
        measure: count => count * createRecords(1).reduce((sum, record) => sum + JSON.stringify(record).length, 0),
        twoYearSize: 1,
        twoYearRate: claimsPerSecond,
        isControl: true,
        mechanism: "every daemon reads every claim",
    },
];
