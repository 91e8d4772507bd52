/**
 * @module
 * Keeps prompts that end engines from ending more of them. Each instance reports the ends that it sees to a few instances in
 * charge; these ask all others about a suspected part and tell everybody their verdict.
 */
import { createDueSuspicions } from "./createDueSuspicions.js";
import { createInquiries } from "./createInquiries.js";
import { createPartAdmission } from "./createPartAdmission.js";
import { createPartEvidence, type Suspicion } from "./createPartEvidence.js";
import { createPartHistory, type PartTestimony } from "./createPartHistory.js";
import { createProbes, type FailedProbe } from "./createProbes.js";
import { createQuarantine } from "./createQuarantine.js";
import type { EngineEnd } from "./engineEnd.js";
import { judgePart } from "./judgePart.js";
import type { PartGuard, PartGuardDependencies, QuarantineChange } from "./partGuardTypes.js";
import {
    type InquiredPart,
    maxReportedRequests,
    type QuarantineMessage,
    type QuarantineRecord,
    type ReportedTestimony,
} from "./quarantineMessage.js";
import { rankJudges } from "./rankJudges.js";

/** Delay after which a message is sent again, in milliseconds; datagrams may be lost. */
const repeatDelayMs = 150;

/** Time before a containment from which other ends of engines make a failed probe less certain, in milliseconds. */
const otherEndsMs = 5_000;

/** Time within which the instances report the end of an engine, in milliseconds. */
const reportDelayMs = 100;

/** Delay between the instances in charge, in milliseconds: the next one judges when the one before it has not. */
const rankDelayMs = 300;

/** Minimum time between two messages that bring one instance up to date, in milliseconds. */
const minUpdateIntervalMs = 400;

/**
 * Creates a guard without entries.
 *
 * @param deps - The clock and the other instances.
 * @returns The guard.
 * @example
 * createPartGuard(deps).admit("r-1", ["style", "case"]).kind; // "free"
 */
export function createPartGuard(deps: PartGuardDependencies): PartGuard {
    const { clock, self } = deps;
    const evidence = createPartEvidence();
    const history = createPartHistory();
    const quarantine = createQuarantine();
    const updatedMs = new Map<string, number>();

    const listInstances = () => [self, ...deps.listOthers()];

    /** Sends a message twice. */
    function sendTwice(names: readonly string[], message: QuarantineMessage): void {
        const others = names.filter(name => name !== self);
        if (others.length > 0) {
            deps.send(others, message);
            clock.after(repeatDelayMs, () => deps.send(others, message));
        }
    }

    const probes = createProbes({
        clock,
        self,
        findPermitter: () => rankJudges("ends", listInstances())[0] ?? self,
        sendRequest: (to, part) => deps.send([to], { quarantine: { kind: "probeRequest", part } }),
        sendGrant: (to, part) => deps.send([to], { quarantine: { kind: "probeGrant", part } }),
    });

    const { admit, isProbed } = createPartAdmission({ clock, quarantine, probes });

    function describeEntries(): QuarantineMessage {
        return { quarantine: { kind: "entries", entries: quarantine.list(clock.now()) } };
    }

    /** Tells the others of an entry that this instance has changed, and has it kept. */
    function spread(part: string): void {
        sendTwice(deps.listOthers(), describeEntries());
        const record = quarantine.list(clock.now()).find(entry => entry.part === part);
        if (record !== undefined) {
            deps.keep?.(record);
        }
    }

    function announce(change: QuarantineChange): void {
        spread(change.part);
        deps.onChange(change);
    }

    const due = createDueSuspicions({
        clock,
        listSuspicions: nowMs => evidence.listSuspicions(nowMs, quarantine.findSinceMs),
        onDue: () => considerNext(),
    });

    const inquiries = createInquiries({
        clock,
        listDue: due.list,
        ask: (inquiry, suspicions) => {
            const nowMs = clock.now();
            const parts = suspicions.map(({ part, firstEndMs, lastEndMs }) => ({
                part,
                sinceAgeMs: nowMs - firstEndMs,
                untilAgeMs: nowMs - lastEndMs,
            }));
            deps.send(deps.listOthers(), { quarantine: { kind: "inquiry", inquiry, parts } });
        },
        countOthers: () => deps.listOthers().length,
        onSilence: suspicions => suspicions.forEach(one => due.postpone(one.part)),
        onTestimonies: (asked, testimonies) => {
            testimonies.forEach(({ answeredMs }) => evidence.recordAnswered(asked.part, answeredMs ?? -Infinity));
            // Parts that were judged before it may have explained its ends.
            const present = due.list().find(one => one.part === asked.part);
            if (present !== undefined) {
                judge(present, testimonies);
            }
        },
    });

    function judge(suspicion: Suspicion, testimonies: readonly PartTestimony[]): void {
        const { part, engines, firstEndMs, lastEndMs } = suspicion;
        const change = judgePart(suspicion, [history.describe(part, firstEndMs, lastEndMs), ...testimonies]);
        switch (change) {
            case "contain":
                quarantine.contain(part, engines, clock.now());
                break;
            case "hold":
                quarantine.hold(part, engines, clock.now());
                break;
            case "answered":
            case "insufficient":
                due.recordJudged(suspicion);
                break;
        }
        if (change === "contain" || change === "hold") {
            spread(part);
        }
        deps.onChange({ part, change, suspicion });
    }

    /** Begins an inquiry if there is something to judge and this instance is in charge. */
    function considerNext(): void {
        const rank = rankJudges("ends", listInstances()).indexOf(self);
        if (rank !== -1 && due.list().length > 0) {
            inquiries.begin(rank * rankDelayMs);
        }
    }

    function addEnd(end: EngineEnd, atMs: number): void {
        evidence.addEnd(end, atMs);
        considerNext();
    }

    function failProbe({ part, isConclusive }: FailedProbe, engine: string, atMs: number): void {
        const { findSinceMs } = quarantine;
        const hasOtherCause = evidence.hasOtherCause(part, { engine, atMs }, findSinceMs);
        const sinceMs = (findSinceMs(part) ?? Infinity) - otherEndsMs;
        const otherEnds = evidence.countOtherEnds(part, sinceMs, findSinceMs);
        const details = { engine, isConclusive: isConclusive && !hasOtherCause, otherEnds };
        const isHeld = quarantine.recordFailedProbe(part, details, clock.now());
        announce({ part, change: isHeld ? "hold" : "contain" });
    }

    /** Judges the probes that this instance has permitted to `from`, once others have reported the end of their engine. */
    function failProbes(from: string, end: EngineEnd): void {
        const atMs = clock.now();
        for (const probe of probes.takeFailed(from, end)) {
            clock.after(reportDelayMs, () => failProbe(probe, end.engine, atMs));
        }
    }

    function lift(part: string): boolean {
        const isLifted = quarantine.lift(part, clock.now());
        if (isLifted) {
            evidence.recordAnswered(part, clock.now());
            probes.remove(part);
            announce({ part, change: "lifted" });
        }
        return isLifted;
    }

    function applyGrant(part: string): void {
        probes.applyGrant(part);
        deps.onChange({ part, change: "granted" });
    }

    function applyEntries(records: readonly QuarantineRecord[]): void {
        for (const part of quarantine.merge(records, clock.now())) {
            const state = records.find(record => record.part === part)?.state ?? "lifted";
            if (state === "lifted") {
                evidence.recordAnswered(part, clock.now());
            }
            deps.onChange({ part, change: state });
        }
    }

    function answerInquiry(from: string, inquiry: number, parts: readonly InquiredPart[]): void {
        const nowMs = clock.now();
        const testimonies = parts.map(({ part, sinceAgeMs, untilAgeMs }) => {
            const { answeredMs, ...counts } = history.describe(part, nowMs - sinceAgeMs, nowMs - untilAgeMs);
            return answeredMs === undefined ? counts : { ...counts, answeredAgeMs: nowMs - answeredMs };
        });
        deps.send([from], { quarantine: { kind: "testimonies", inquiry, testimonies } });
    }

    function addTestimonies(from: string, inquiry: number, testimonies: readonly ReportedTestimony[]): void {
        const nowMs = clock.now();
        inquiries.addTestimonies(
            from,
            inquiry,
            testimonies.map(({ answeredAgeMs, answers, otherAnswers }) => {
                const answeredMs = answeredAgeMs === undefined ? undefined : nowMs - answeredAgeMs;
                return { answeredMs, answers, otherAnswers };
            }),
        );
    }

    return {
        admit,
        beginProbe: (requestId, parts) => parts.filter(isProbed).forEach(part => probes.begin(requestId, part)),
        endProbe: probes.end,
        recordAnswer: (parts, sentMs) => {
            const nowMs = clock.now();
            history.record(parts, sentMs, nowMs);
            if (evidence.hasEnds()) {
                parts.forEach(part => evidence.recordAnswered(part, nowMs));
            }
            if (!quarantine.isEmpty()) {
                parts.forEach(lift);
            }
        },
        recordEnd: end => {
            const requests = end.requests.map(req => ({ ...req, isProbe: probes.isProbe(req.id) }));
            // Probes come first, for they must not be left out.
            const ordered = requests.toSorted((left, right) => Number(right.isProbe) - Number(left.isProbe));
            const reported = { ...end, requests: ordered.slice(0, maxReportedRequests) };
            failProbes(self, reported);
            sendTwice(rankJudges("ends", listInstances()), { quarantine: { kind: "end", end: reported, ageMs: 0 } });
            addEnd(reported, clock.now());
        },
        receive: (from, { quarantine: message }) => {
            const nowMs = clock.now();
            switch (message.kind) {
                case "end":
                    failProbes(from, message.end);
                    addEnd(message.end, nowMs - message.ageMs);
                    break;
                case "inquiry":
                    answerInquiry(from, message.inquiry, message.parts);
                    break;
                case "testimonies":
                    addTestimonies(from, message.inquiry, message.testimonies);
                    break;
                case "probeRequest":
                    if (isProbed(message.part)) {
                        probes.grant(from, message.part);
                    }
                    break;
                case "probeGrant":
                    applyGrant(message.part);
                    break;
                case "entries":
                    applyEntries(message.entries);
                    break;
            }
        },
        compareDigest: (from, digest) => {
            const isDue = clock.now() - (updatedMs.get(from) ?? -Infinity) > minUpdateIntervalMs;
            if (!quarantine.isEmpty() && digest !== quarantine.digest() && isDue) {
                updatedMs.set(from, clock.now());
                deps.send([from], describeEntries());
            }
        },
        digest: quarantine.digest,
        list: () => quarantine.list(clock.now()),
        restore: applyEntries,
        lift,
        clear: () => {
            inquiries.clear();
            probes.clear();
        },
    };
}
