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
    /** Addresses of all entries, from which the first list is asked. */
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
    /** Lets every caller finish its request, then ends. */
    readonly stop: () => Promise<void>;
}

interface HeldList {
    readonly list: EntryList;
    readonly validUntilMs: number;
}

const maxAttempts = 5;
const thinkMs = 20;
const retryMs = 150;
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
 * @returns The callers with their growing history.
 */
export function startCallers(options: CallersOptions): Callers {
    const { random, addresses } = options;
    const requests: CallerRequest[] = [];
    let isStopping = false;
    let counter = 0;

    async function askForList(customer: string, agent: Agent): Promise<HeldList | undefined> {
        const address = addresses[Math.floor(random() * addresses.length)]!;
        const domain = options.failureDomains[0] ?? "";
        try {
            const askedMs = performance.now();
            const res = await request(`http://${address}/v1/entries?customer=${customer}&failureDomain=${domain}`, {
                dispatcher: agent,
                signal: AbortSignal.timeout(listTimeoutMs),
            });
            const list = await res.body.json() as EntryList;
            return list.entries.length === 0 ? undefined : { list, validUntilMs: askedMs + list.lifetimeMs };
        }
        catch {
            return undefined;
        }
    }

    function chooseKind(): CallerRequest["kind"] {
        const draw = random();
        if (draw < 0.7) {
            return "model";
        }
        return draw < 0.9 ? "booking" : "read";
    }

    function isFinal(attempt: CallerAttempt): boolean {
        return attempt.end === "whole" || attempt.errorKind === "alreadyRun";
    }

    async function runWorker(customer: string): Promise<void> {
        const agent = new Agent({ connect: { timeout: listTimeoutMs } });
        let held: HeldList | undefined;
        while (!isStopping) {
            counter += 1;
            const nonce = `nonce-${counter}-${Math.floor(random() * 1e9).toString(36)}`;
            const kind = chooseKind();
            const req = { nonce, kind, customer, key: createKey(nonce) };
            const prompt = createPrompt(customer, Math.floor(random() * 3));
            const attempts: CallerAttempt[] = [];
            while (attempts.length < maxAttempts && !attempts.some(isFinal)) {
                if (attempts.length > 0) {
                    await delay(retryMs);
                }
                if (held === undefined || performance.now() > held.validUntilMs || attempts.length > 1) {
                    held = await askForList(customer, agent) ?? held;
                }
                if (held === undefined) {
                    await delay(retryMs);
                    continue;
                }
                const entry = held.list.entries[attempts.length % held.list.entries.length]!;
                const isListValid = performance.now() <= held.validUntilMs;
                const daemon = addresses.indexOf(entry.address);
                attempts.push(await callEntry({ req, daemon, address: entry.address, isListValid, agent, prompt }));
            }
            requests.push({ ...req, attempts });
            await delay(thinkMs * random());
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

/** Creates an idempotency key of the documented form. */
function createKey(nonce: string): string {
    return `${Date.now()}-${nonce}`;
}
