/**
 * @module
 * Inquiries about suspected parts: an instance in charge asks all others what they know before it judges.
 */
import { createMachine, interpret, state, transition } from "robot3";
import type { CancelTimer, Clock } from "../time/clock.js";
import type { Suspicion } from "./createPartEvidence.js";
import type { PartTestimony } from "./createPartHistory.js";

/** What one instance knows of the parts of an inquiry, in their order. */
export type Testimonies = readonly PartTestimony[];

/** Inquiries, one at a time. */
export interface Inquiries {
    /** Begins an inquiry after a delay, unless one is in progress. */
    readonly begin: (delayMs: number) => void;
    readonly addTestimonies: (from: string, inquiry: number, testimonies: Testimonies) => void;
    /** Ends the inquiry in progress without a verdict. */
    readonly clear: () => void;
}

/** Dependencies of {@link createInquiries}. */
export interface InquiryDependencies {
    readonly clock: Clock;
    /** Lists the suspicions that are to be judged now, the strongest one first. */
    readonly listDue: () => readonly Suspicion[];
    /** Sends an inquiry to all other instances. */
    readonly ask: (inquiry: number, suspicions: readonly Suspicion[]) => void;
    /** Number of other instances. */
    readonly countOthers: () => number;
    /** Called instead when too few instances have answered. */
    readonly onSilence: (suspicions: readonly Suspicion[]) => void;
    /** Receives each suspicion with what the others know of its part, the strongest one first. */
    readonly onTestimonies: (suspicion: Suspicion, testimonies: readonly PartTestimony[]) => void;
}

/** Time for which testimonies are awaited, in milliseconds. */
const answerTimeoutMs = 150;

/** Delay after which an inquiry is sent again, in milliseconds: it or an answer may have been lost. */
const repeatDelayMs = 60;

/** Share of the other instances that must have answered: the one that has seen a part answered may be missing. */
const minAnsweredShare = 2 / 3;

/** Time after the first end before which nothing is judged, in milliseconds: sound prompts are answered meanwhile. */
const observationMs = 600;

/** Most suspicions of an inquiry. */
const maxSuspicions = 8;

const inquiryMachine = createMachine("idle", {
    idle: state(transition("begin", "waiting")),
    waiting: state(transition("ask", "asking"), transition("clear", "idle")),
    asking: state(transition("close", "idle"), transition("clear", "idle")),
});

/**
 * Creates inquiries of which none is in progress.
 *
 * @param deps - The clock, the evidence and the other instances.
 * @returns The inquiries.
 * @example
 * createInquiries(deps).begin(0);
 */
export function createInquiries(deps: InquiryDependencies): Inquiries {
    const { clock } = deps;
    const service = interpret(inquiryMachine, () => undefined);
    let inquiry = 0;
    let received = new Map<string, Testimonies>();
    let cancel: CancelTimer = () => undefined;

    function close(suspicions: readonly Suspicion[]): void {
        service.send("close");
        if (received.size < deps.countOthers() * minAnsweredShare) {
            deps.onSilence(suspicions);
            return;
        }
        for (const [index, suspicion] of suspicions.entries()) {
            const testimonies = [...received.values()].map(one => one[index]).filter(one => one !== undefined);
            deps.onTestimonies(suspicion, testimonies);
        }
    }

    function ask(): void {
        const suspicions = deps.listDue().slice(0, maxSuspicions);
        if (suspicions.length === 0) {
            service.send("clear");
            return;
        }
        service.send("ask");
        inquiry += 1;
        received = new Map();
        deps.ask(inquiry, suspicions);
        cancel = clock.after(repeatDelayMs, () => {
            deps.ask(inquiry, suspicions);
            cancel = clock.after(answerTimeoutMs - repeatDelayMs, () => close(suspicions));
        });
    }

    return {
        begin: delayMs => {
            if (service.machine.current !== "idle") {
                return;
            }
            service.send("begin");
            const firstEndMs = Math.min(...deps.listDue().map(one => one.firstEndMs));
            cancel = clock.after(Math.max(delayMs, firstEndMs + observationMs - clock.now()), ask);
        },
        addTestimonies: (from, id, testimonies) => {
            if (id === inquiry) {
                received.set(from, testimonies);
            }
        },
        clear: () => {
            cancel();
            service.send("clear");
        },
    };
}
