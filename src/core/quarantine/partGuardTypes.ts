/**
 * @module
 * Interface of the guard against prompts that end engines.
 */
import type { Clock } from "../time/clock.js";
import type { Admission } from "./createPartAdmission.js";
import type { Suspicion } from "./createPartEvidence.js";
import type { EngineEnd } from "./engineEnd.js";
import type { PartVerdict } from "./judgePart.js";
import type { QuarantineMessage, QuarantineRecord } from "./quarantineMessage.js";

/** A verdict, or another change of the quarantine, for logs. */
export interface QuarantineChange {
    readonly part: string;
    readonly change: PartVerdict | QuarantineRecord["state"] | "granted";
    /** The evidence, where this instance has judged. */
    readonly suspicion?: Suspicion | undefined;
}

/** The guard of an instance. */
export interface PartGuard {
    readonly admit: (requestId: string, parts: readonly string[]) => Admission;
    /** Records that a request is sent as a probe. */
    readonly beginProbe: (requestId: string, parts: readonly string[]) => void;
    /** Records that a send of a request has ended; it is not sent again as a probe. */
    readonly endProbe: (requestId: string) => void;
    /** Records that a prompt was answered; `sentMs` is when the request was sent. */
    readonly recordAnswer: (parts: readonly string[], sentMs: number) => void;
    /** Records the end of an engine under this instance's requests. */
    readonly recordEnd: (end: EngineEnd) => void;
    readonly receive: (from: string, message: QuarantineMessage) => void;
    /** Compares the quarantine with that of another instance, which gets the entries if they differ. */
    readonly compareDigest: (from: string, digest: string | undefined) => void;
    readonly digest: () => string | undefined;
    readonly list: () => readonly QuarantineRecord[];
    /** Takes entries that were kept for longer than any process. */
    readonly restore: (records: readonly QuarantineRecord[]) => void;
    /** Lifts the entry of a part on all instances; returns false when there is none. */
    readonly lift: (part: string) => boolean;
    /** Forgets inquiries and probes, after a pause of the process. */
    readonly clear: () => void;
}

/** Dependencies of the guard. */
export interface PartGuardDependencies {
    readonly clock: Clock;
    readonly self: string;
    /** Names of the other live instances. */
    readonly listOthers: () => readonly string[];
    readonly send: (names: readonly string[], message: QuarantineMessage) => void;
    /** Called after each change of the quarantine. */
    readonly onChange: (change: QuarantineChange) => void;
    /** Keeps an entry that this instance has changed. */
    readonly keep?: ((record: QuarantineRecord) => void) | undefined;
}
