/**
 * @module
 * Decides from the quarantine and the probes whether a request may be sent.
 */
import type { Clock } from "../time/clock.js";
import type { Probes } from "./createProbes.js";
import type { Quarantine } from "./createQuarantine.js";

/** Whether a request may be sent.
 *
 * - `free`: nothing is known against its prompt.
 * - `probe`: it may be sent as the one request that shows whether a part ends engines.
 * - `wait`: another request is to show that first.
 * - `held`: it is to be refused because of a part. */
export type Admission =
    | { readonly kind: "free" | "probe" | "wait"; }
    | { readonly kind: "held"; readonly part: string; };

/** Admits requests by the parts of their prompts. */
export interface PartAdmission {
    readonly admit: (requestId: string, parts: readonly string[]) => Admission;
    /** Whether requests with a part are sent as probes only. */
    readonly isProbed: (part: string) => boolean;
}

/** Dependencies of {@link createPartAdmission}. */
export interface PartAdmissionDependencies {
    readonly clock: Clock;
    readonly quarantine: Pick<Quarantine, "findTreatment" | "isEmpty">;
    readonly probes: Pick<Probes, "mayBegin">;
}

/**
 * Creates the admission over a quarantine.
 *
 * @param deps - The clock, the quarantine and the probes.
 * @returns The admission.
 * @example
 * createPartAdmission(deps).admit("r-1", ["style", "case"]).kind; // "free"
 */
export function createPartAdmission({ clock, quarantine, probes }: PartAdmissionDependencies): PartAdmission {
    function isProbed(part: string): boolean {
        const treatment = quarantine.findTreatment(part, clock.now());
        return treatment === "contained" || treatment === "expired";
    }

    function admitPart(part: string, requestId: string): Admission {
        switch (quarantine.findTreatment(part, clock.now())) {
            case "free":
                return { kind: "free" };
            case "contained":
                return { kind: probes.mayBegin(part, requestId) ? "probe" : "wait" };
            case "held":
                return { kind: "held", part };
            case "expired":
                return probes.mayBegin(part, requestId) ? { kind: "probe" } : { kind: "held", part };
        }
    }

    function admit(requestId: string, parts: readonly string[]): Admission {
        if (quarantine.isEmpty()) {
            return { kind: "free" };
        }
        const admissions = parts.map(part => admitPart(part, requestId));
        const strictest = (["held", "wait", "probe"] as const)
            .map(kind => admissions.find(one => one.kind === kind))
            .find(one => one !== undefined);
        return strictest ?? { kind: "free" };
    }

    return { admit, isProbed };
}
