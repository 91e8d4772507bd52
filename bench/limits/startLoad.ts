/**
 * @module
 * Load on a simulated fleet: Poisson arrivals of each customer at its entries, skewed to one entry that changes.
 */
import type { Customer } from "../../src/core/catalogue/catalogueEntry.js";
import type { Fleet, FleetRequest } from "./createFleet.js";

/** Load of one customer. */
export interface CustomerLoad {
    readonly customer: Customer;
    /** Arrivals a second, as a multiple of the customer's request limit. */
    readonly demand: number;
    /** Indexes of the daemons that the customer's callers use. */
    readonly entries: readonly number[];
}

/** Outcomes of one customer's requests. */
export interface LoadRecord {
    offered: number;
    admitted: number;
    refused: number;
    undecided: number;
    readonly waitsMs: number[];
}

/** Interval after which a customer's favoured entry changes. */
const shiftIntervalMs = 5_000;

/** Share of a customer's arrivals that goes to its favoured entry. */
const favouredShare = 0.7;

const promptTokens = { short: 400, long: 3_000 };
const longShare = 0.1;

function createRequest(customer: Customer, random: () => number): FleetRequest {
    const outputTokens = 100;
    return {
        customer,
        cost: { promptTokens: random() < longShare ? promptTokens.long : promptTokens.short, outputTokens },
        usedOutputTokens: Math.ceil(outputTokens * (0.4 + 0.6 * random())),
        durationMs: 200 + 600 * random(),
        timeoutMs: 20_000,
    };
}

/** Starts arrivals; returns the records by customer, which count only arrivals from `fromMs` to `untilMs`. */
export function startLoad(
    fleet: Fleet,
    loads: readonly CustomerLoad[],
    period: { readonly fromMs: number; readonly untilMs: number; },
): ReadonlyMap<string, LoadRecord> {
    const { clock } = fleet;
    const records = new Map<string, LoadRecord>();

    function arrive(load: CustomerLoad, record: LoadRecord, favoured: number): void {
        const other = load.entries[Math.floor(clock.random() * load.entries.length)]!;
        const entry = clock.random() < favouredShare ? favoured : other;
        const isCounted = clock.now() >= period.fromMs && clock.now() < period.untilMs;
        const arrivedMs = clock.now();
        record.offered += isCounted ? 1 : 0;
        record.undecided += isCounted ? 1 : 0;
        fleet.submit(entry, createRequest(load.customer, clock.random), verdict => {
            if (!isCounted) {
                return;
            }
            record.undecided -= 1;
            if (verdict.kind === "admitted") {
                record.admitted += 1;
                record.waitsMs.push(clock.now() - arrivedMs);
            }
            else {
                record.refused += 1;
            }
        });
    }

    for (const load of loads) {
        const record: LoadRecord = { offered: 0, admitted: 0, refused: 0, undecided: 0, waitsMs: [] };
        records.set(load.customer.id, record);
        const perMs = (load.demand * load.customer.limits.requestsPerSecond) / 1000;
        let favoured = load.entries[0]!;
        let nextShiftMs = clock.random() * shiftIntervalMs;
        const next = () => {
            if (clock.now() >= nextShiftMs) {
                favoured = load.entries[Math.floor(clock.random() * load.entries.length)]!;
                nextShiftMs += shiftIntervalMs;
            }
            arrive(load, record, favoured);
            if (clock.now() < period.untilMs) {
                clock.after(-Math.log(1 - clock.random()) / perMs, next);
            }
        };
        clock.after(-Math.log(1 - clock.random()) / perMs, next);
    }
    return records;
}
