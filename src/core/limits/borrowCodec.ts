/**
 * @module
 * The form in which loan messages are sent: JSON arrays without names, fractions in whole ten-thousandths.
 */
import { z } from "zod";
import { parseJson } from "../_lib/parseJson.js";
import type { BorrowRequest, BorrowResponse } from "./quotaTypes.js";

const whole = z.number().int().min(0);
const name = z.string().min(1).max(64);
const fractionScale = 10_000;
const maxAsks = 64;

const requestSchema = z.tuple([
    name,
    name,
    whole,
    z.array(z.tuple([name, whole.max(fractionScale), whole])).max(maxAsks),
]);
const answerSchema = z.tuple([
    whole,
    z.array(z.tuple([whole.max(fractionScale), whole, whole, whole, whole])).max(maxAsks),
]);

/**
 * Encodes a request for loans.
 *
 * @param req - The request; its fractions are whole ten-thousandths.
 * @returns The text to send.
 * @example
 * encodeLoanRequest(req).length;
 */
export function encodeBorrowRequest(req: BorrowRequest): string {
    const asks = req.items.map(ask => [ask.customer, Math.round(ask.fraction * fractionScale), ask.permits]);
    return JSON.stringify([req.instance, req.incarnation, req.sequence, asks]);
}

/**
 * Decodes a request for loans.
 *
 * @param payload - The received text.
 * @returns The request; undefined when it is malformed.
 * @example
 * decodeLoanRequest(encodeLoanRequest(req))?.sequence === req.sequence; // true
 */
export function decodeBorrowRequest(payload: string): BorrowRequest | undefined {
    const parsed = parseJson(requestSchema, payload);
    if (parsed === undefined) {
        return undefined;
    }
    const [instance, incarnation, sequence, list] = parsed;
    const asks = list.map(([customer, parts, permits]) => ({ customer, fraction: parts / fractionScale, permits }));
    return { instance, incarnation, sequence, items: asks };
}

/**
 * Encodes an answer; grants stand in the order of the request's asks.
 *
 * @param answer - The answer.
 * @returns The text to send.
 * @example
 * encodeLoanAnswer(answer).length;
 */
export function encodeBorrowResponse(answer: BorrowResponse): string {
    const grants = answer.grants.map(({ fraction, permits, amounts }) => [
        Math.round(fraction * fractionScale),
        permits,
        amounts.requests,
        amounts.promptTokens,
        amounts.outputTokens,
    ]);
    return JSON.stringify([answer.sequence, grants]);
}

/**
 * Decodes an answer.
 *
 * @param payload - The received text.
 * @param req - The request that it answers.
 * @returns The answer; undefined when it is malformed or does not fit the request.
 * @example
 * decodeLoanAnswer(payload, req)?.grants.length;
 */
export function decodeBorrowResponse(payload: string, req: BorrowRequest): BorrowResponse | undefined {
    const parsed = parseJson(answerSchema, payload);
    if (parsed === undefined || parsed[0] !== req.sequence || parsed[1].length !== req.items.length) {
        return undefined;
    }
    const grants = parsed[1].map(([parts, permits, requests, promptTokens, outputTokens], index) => ({
        customer: req.items[index]!.customer,
        fraction: parts / fractionScale,
        permits,
        amounts: { requests, promptTokens, outputTokens },
    }));
    return { sequence: parsed[0], grants };
}
