/**
 * @module
 * Parses the messages that instances send each other as datagrams.
 */
import * as z from "zod";
import { parseJson } from "../_lib/parseJson.js";
import { type PermitMessage, permitMessageSchema } from "../permits/permitMessage.js";
import { type QuarantineMessage, quarantineMessageSchema } from "../quarantine/quarantineMessage.js";
import { type QuotaMessage, quotaMessageSchema } from "../quotas/quotaMessage.js";
import { type SignalMessage, signalMessageSchema } from "../signals/signalReport.js";
import { type Heartbeat, heartbeatSchema } from "./heartbeat.js";
import { type LoadingReport, loadingReportSchema } from "./loadingReport.js";
import { type PrefillReport, prefillReportSchema } from "./prefillReport.js";

/** A message of a peer. */
export type FleetMessage = Heartbeat | PrefillReport | LoadingReport | PeerMessage;

/** A message that is handled by the subject that sent it, beside heartbeats and reports about engines. */
export type PeerMessage = QuarantineMessage | SignalMessage | PermitMessage | QuotaMessage;

const messageSchema = z.union([
    prefillReportSchema,
    loadingReportSchema,
    quarantineMessageSchema,
    signalMessageSchema,
    permitMessageSchema,
    quotaMessageSchema,
    heartbeatSchema,
]);

/**
 * Parses a message.
 *
 * @param text - The message.
 * @returns The heartbeat or report; undefined when it is malformed.
 * @example
 * parseFleetMessage("{}"); // undefined
 */
export function parseFleetMessage(text: string): FleetMessage | undefined {
    return parseJson(messageSchema, text);
}
