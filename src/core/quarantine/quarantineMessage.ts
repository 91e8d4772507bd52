/**
 * @module
 * Messages in which instances tell each other which engines ended under which prompt parts, and which parts are held back.
 * They are sent only after an engine has ended.
 */
import * as z from "zod";

/** Most requests of one ended engine in a report. */
export const maxReportedRequests = 32;

/** Most entries of the quarantine in one message. */
export const maxReportedEntries = 64;

/** Most parts of one inquiry. */
const maxInquiredParts = 16;

const maxNameLength = 128;
const maxParts = 32;

/** Longest time that a message may state, in milliseconds: a day. */
const maxDurationMs = 86_400_000;

const name = z.string().min(1).max(maxNameLength);
const durationMs = z.number().min(0).max(maxDurationMs);

const requestSchema = z.object({
    id: name,
    parts: z.array(name).max(maxParts).readonly(),
    /** Whether an event of its answer had arrived. */
    hasEvents: z.boolean(),
    isProbe: z.boolean(),
}).readonly();

const endSchema = z.object({
    engine: name,
    startedAtMs: z.number().int(),
    requests: z.array(requestSchema).max(maxReportedRequests).readonly(),
}).readonly();

/** Schema of an entry of the quarantine. */
export const quarantineRecordSchema = z.object({
    part: name,
    /** Rises with each change of the entry. */
    version: z.number().int().min(1),
    state: z.enum(["contained", "held", "lifted"]),
    /** Time for which the part is held, in milliseconds. */
    remainingMs: durationMs,
    /** How often it was held. */
    holds: z.number().int().min(0),
    /** Weight of the probes under which engines ended since it was contained. */
    probeScore: z.number().int().min(0),
    /** Engines that ended under it. */
    engines: z.array(name).max(maxReportedRequests).readonly(),
}).readonly();

const inquiredPartSchema = z.object({ part: name, sinceAgeMs: durationMs, untilAgeMs: durationMs }).readonly();

const testimonySchema = z.object({
    /** Milliseconds since the last answer to a prompt with the part. */
    answeredAgeMs: durationMs.optional(),
    answers: z.number().int().min(0),
    otherAnswers: z.number().int().min(0),
}).readonly();

/** Schema of the messages. */
export const quarantineMessageSchema = z.object({
    quarantine: z.discriminatedUnion("kind", [
        /** An engine has ended, seen `ageMs` ago. */
        z.object({ kind: z.literal("end"), end: endSchema, ageMs: durationMs }).readonly(),
        /** Asks what the receiver knows of parts, and of others between `sinceAgeMs` and `untilAgeMs` ago. */
        z.object({
            kind: z.literal("inquiry"),
            inquiry: z.number().int(),
            parts: z.array(inquiredPartSchema).max(maxInquiredParts).readonly(),
        }).readonly(),
        /** Answers an inquiry, in the order of its parts. */
        z.object({
            kind: z.literal("testimonies"),
            inquiry: z.number().int(),
            testimonies: z.array(testimonySchema).max(maxInquiredParts).readonly(),
        }).readonly(),
        /** Asks the instance in charge of a contained part to let a request of the sender through as a probe. */
        z.object({ kind: z.literal("probeRequest"), part: name }).readonly(),
        z.object({ kind: z.literal("probeGrant"), part: name }).readonly(),
        z.object({
            kind: z.literal("entries"),
            entries: z.array(quarantineRecordSchema).max(maxReportedEntries).readonly(),
        })
            .readonly(),
    ]),
}).readonly();

/** A message. */
export type QuarantineMessage = z.infer<typeof quarantineMessageSchema>;

/** An entry of the quarantine as instances send it. */
export type QuarantineRecord = z.infer<typeof quarantineRecordSchema>;

/** A part of an inquiry. */
export type InquiredPart = z.infer<typeof inquiredPartSchema>;

/** What an instance answers to an inquiry about a part. */
export type ReportedTestimony = z.infer<typeof testimonySchema>;
