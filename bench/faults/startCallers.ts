/**
 * @module
 * Closed-loop callers that use only the entry list and the public interface.
 */
import { setTimeout as delay } from "node:timers/promises";
import { Agent, request } from "undici";
import type { EntryList } from "../../src/core/entries/rankEntries.js";
import { callEntry } from "./callEntry.js";
import type { CallerAttempt, CallerRequest } from "./historyTypes.js";

/** What the callers need. */
export interface CallersOptions {
    /** Addresses of all entries; entry lists are requested from one of them at random. */
    readonly addresses: readonly string[];
    readonly customers: readonly string[];
    readonly workersPerCustomer: number;
    readonly failureDomains: readonly string[];
    /** Seeded random numbers from 0 (included) to 1 (excluded). */
    readonly random: () => number;
}

/** Running callers. */
export interface Callers {
    readonly requests: readonly CallerRequest[];
    /** Stops the callers after each has finished its current request. */
    readonly stop: () => Promise<void>;
}

interface CachedEntryList {
    readonly list: EntryList;
    readonly validUntilMs: number;
}

const maxAttempts = 5;
const thinkTimeMs = 20;
const retryDelayMs = 150;
const listTimeoutMs = 1_000;
const houseStyleLines = 60;

function createPrompt(customer: string, documentType: number): string {
    const houseStyle = Array.from(
        { length: houseStyleLines },
        (_, line) => `${customer}, rule ${line}: use short words.`,
    );
    return `${houseStyle.join("\n")}\nDocument type ${documentType}: name the date, the place and the person.`;
}

/**
 * Starts the callers.
 *
 * @param options - Entries, customers and randomness.
 * @returns The callers, whose list of requests grows as they finish.
 */
export function startCallers(options: CallersOptions): Callers {
    const { random, addresses } = options;
    const requests: CallerRequest[] = [];
    let isStopping = false;
    let counter = 0;

    async function fetchEntryList(customer: string, agent: Agent): Promise<CachedEntryList | undefined> {
        const address = addresses[Math.floor(random() * addresses.length)]!;
        const domain = options.failureDomains[0] ?? "";
        try {
            const requestedMs = performance.now();
            const res = await request(`http://${address}/v1/entries?customer=${customer}&failureDomain=${domain}`, {
                dispatcher: agent,
                signal: AbortSignal.timeout(listTimeoutMs),
            });
            const list = await res.body.json() as EntryList;
            return list.entries.length === 0 ? undefined : { list, validUntilMs: requestedMs + list.lifetimeMs };
        }
        catch {
            return undefined;
        }
    }

    function chooseKind(): CallerRequest["kind"] {
        const sample = random();
        if (sample < 0.7) {
            return "model";
        }
        return sample < 0.9 ? "booking" : "read";
    }

    function isFinal(attempt: CallerAttempt): boolean {
        return attempt.end === "whole" || attempt.errorKind === "alreadyRun";
    }

    async function runWorker(customer: string): Promise<void> {
        const agent = new Agent({ connect: { timeout: listTimeoutMs } });
        let cached: CachedEntryList | undefined;
        while (!isStopping) {
            counter += 1;
            const nonce = `nonce-${counter}-${Math.floor(random() * 1e9).toString(36)}`;
            const kind = chooseKind();
            const req = { nonce, kind, customer, key: createKey(nonce) };
            const prompt = createPrompt(customer, Math.floor(random() * 3));
            const attempts: CallerAttempt[] = [];
            while (attempts.length < maxAttempts && !attempts.some(isFinal)) {
                if (attempts.length > 0) {
                    await delay(retryDelayMs);
                }
                if (cached === undefined || performance.now() > cached.validUntilMs || attempts.length > 1) {
                    cached = await fetchEntryList(customer, agent) ?? cached;
                }
                if (cached === undefined) {
                    await delay(retryDelayMs);
                    continue;
                }
                const entry = cached.list.entries[attempts.length % cached.list.entries.length]!;
                const isListValid = performance.now() <= cached.validUntilMs;
                const daemon = addresses.indexOf(entry.address);
                attempts.push(await callEntry({ req, daemon, address: entry.address, isListValid, agent, prompt }));
            }
            requests.push({ ...req, attempts });
            await delay(thinkTimeMs * random());
        }
        await agent.destroy();
    }

    const workers = options.customers.flatMap(customer =>
        Array.from({ length: options.workersPerCustomer }, () => runWorker(customer))
    );
    return {
        requests,
        stop: async () => {
            isStopping = true;
            await Promise.all(workers);
        },
    };
}

/** Creates an idempotency key of the documented form: milliseconds since the epoch, a hyphen and a unique text. */
function createKey(nonce: string): string {
    return `${Date.now()}-${nonce}`;
}
